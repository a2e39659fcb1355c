#include "drivers/backend/http_engine_client.h"
#include "drivers/backend/http_service_client.h"
#include "drivers/loop/loop_runner.h"
#include "drivers/platform/http_table_service.h"
#include "drivers/platform/http_vm_list.h"
#include "tests/support/fake_table.h"
#include "tests/support/fleet_fixture.h"

#include <CppUTest/TestHarness.h>
#include <condition_variable>
#include <fmt/format.h>

using namespace orioletally;
using namespace orioletally::core::backends;
using namespace orioletally::core::platform;
using tests::eventually;
namespace leaf = boost::leaf;

namespace {

/// Records the callbacks of an observer as text, in order.
class Recorder : public StreamObserver {
public:
  void frame(Frame frame) override {
    add(fmt::format("{} {}", frameKindName(frame.Kind), frame.Offset));
  }
  void refused(EngineRefusal refusal) override {
    add("refused " + refusal.Code);
  }
  void unknownStream() override { add("unknown"); }
  void closed(BackendError error) override {
    add(error.Written ? "closed written" : "closed unwritten");
  }

  /// Waits for \p callback; returns whether it came in time.
  bool saw(const std::string &callback) {
    return eventually([&] {
      const std::lock_guard lock(Guard);
      return std::find(Callbacks.begin(), Callbacks.end(), callback) !=
             Callbacks.end();
    });
  }

private:
  void add(std::string callback) {
    const std::lock_guard lock(Guard);
    Callbacks.push_back(std::move(callback));
  }

  std::mutex Guard;
  std::vector<std::string> Callbacks;
};

EngineSubmit submitOf(const std::string &id, int64_t tokens) {
  EngineSubmit submit;
  submit.Stream = {id, 1};
  submit.Owner = "n/1";
  submit.TimeLeft = absl::Seconds(30);
  submit.MaxTokens = tokens;
  submit.Model = "default";
  submit.Prompt = "hello";
  return submit;
}

std::string cancelOn(EngineClient &client, const std::string &address,
                     const StreamId &stream) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(answer,
                        client.cancel(address, stream, absl::Seconds(2)));
        return std::string(cancelStateName(answer.State));
      },
      [] { return std::string("failed"); });
}

std::string describeCommit(TableService &table,
                           const TableTransaction &transaction) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(commit, table.commit(transaction));
        return std::string(commit.Committed ? "committed"
                                            : "conflict " + commit.ConflictKey);
      },
      [](const TableError &ec) {
        return std::string(ec.Failure == TableFailure::OutcomeUnknown
                               ? "unknown"
                               : "unavailable");
      },
      [] { return std::string("?"); });
}

std::string describeRead(TableService &table, const std::string &key) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(row, table.read(key));
        return row.has_value() ? row->Value : std::string("absent");
      },
      [] { return std::string("failed"); });
}

/// Checks what every implementation of TableService must do.
void checkTableContract(TableService &table) {
  STRCMP_EQUAL("absent", describeRead(table, "a b/1").c_str());
  STRCMP_EQUAL("committed",
               describeCommit(table, {{{"a b/1", 0}},
                                      {{"a b/1", "one"}, {"a b/2", "two"}}})
                   .c_str());
  STRCMP_EQUAL("one", describeRead(table, "a b/1").c_str());
  // A condition that fails leaves every row as it was.
  STRCMP_EQUAL("conflict a b/1",
               describeCommit(table, {{{"a b/3", 0}, {"a b/1", 0}},
                                      {{"a b/1", "x"}, {"a b/3", "x"}}})
                   .c_str());
  STRCMP_EQUAL("one", describeRead(table, "a b/1").c_str());
  STRCMP_EQUAL("absent", describeRead(table, "a b/3").c_str());
  const auto rows =
      leaf::try_handle_all([&] { return table.scan("a b/", "a b/1", 10); },
                           [] { return std::vector<TableRow>(); });
  LONGS_EQUAL(1, rows.size());
  STRCMP_EQUAL("two", rows[0].Value.c_str());
  STRCMP_EQUAL("committed", describeCommit(table, {{{"a b/2", rows[0].Version}},
                                                   {{"a b/2", std::nullopt}}})
                                .c_str());
  STRCMP_EQUAL("absent", describeRead(table, "a b/2").c_str());
}

} // namespace

TEST_GROUP(TableContract){};

TEST(TableContract, FakeTableMeetsTheContract) {
  tests::FakeTable table;
  checkTableContract(table);
}

TEST(TableContract, HttpTableServiceMeetsTheContract) {
  lab::PlatformServer platform(0);
  CHECK(static_cast<bool>(platform.start()));
  drivers::platform::HttpTableService table(
      fmt::format("127.0.0.1:{}", platform.port()), absl::Seconds(2));
  checkTableContract(table);
}

TEST(TableContract, LostAnswerIsUnknownAndAnOutageIsUnavailable) {
  lab::PlatformServer platform(0);
  CHECK(static_cast<bool>(platform.start()));
  const std::string address = fmt::format("127.0.0.1:{}", platform.port());
  drivers::platform::HttpTableService table(address, absl::Milliseconds(300));
  lab::PlatformFaults faults;
  faults.LoseReplyPercent = 100;
  platform.setFaults(faults);
  const TableTransaction write = {{}, {{"k", "v"}}};
  STRCMP_EQUAL("unknown", describeCommit(table, write).c_str());
  platform.setFaults({});
  STRCMP_EQUAL("v", describeRead(table, "k").c_str());
  faults = {};
  faults.DelayMs = 1000;
  platform.setFaults(faults);
  STRCMP_EQUAL("unknown", describeCommit(table, write).c_str());
  platform.stop();
  STRCMP_EQUAL("unavailable", describeCommit(table, write).c_str());
  STRCMP_EQUAL("failed", describeRead(table, "k").c_str());
}

TEST_GROUP(EngineContract) {
  lab::EngineServer engine{0, {}};
  drivers::loop::LoopRunner runner;
  drivers::backend::HttpEngineClient client{runner.loop()};
  std::shared_ptr<Recorder> recorder = std::make_shared<Recorder>();
  std::string address;

  void setup() override {
    CHECK(static_cast<bool>(engine.start()));
    address = fmt::format("127.0.0.1:{}", engine.port());
  }

  std::unique_ptr<EngineConnection> submit(const std::string &id,
                                           int64_t tokens) {
    return client.submit(address, submitOf(id, tokens), absl::Seconds(1),
                         recorder);
  }
};

TEST(EngineContract, StreamsTokensAndTheFinalFrame) {
  const auto connection = submit("r", 2);
  for (const char *it : {"accepted 0", "token 0", "token 1", "final 2"})
    CHECK(recorder->saw(it));
  CHECK(eventually([&] { return engine.heldTokens() == 0; }));
}

TEST(EngineContract, ResumesFromAnOffsetOverANewConnection) {
  auto first = submit("r", 50);
  CHECK(recorder->saw("token 2"));
  first.reset();
  const auto resumed = std::make_shared<Recorder>();
  const auto second =
      client.resume(address, {"r", 1}, 3, absl::Seconds(1), resumed);
  CHECK(resumed->saw("token 3"));
  CHECK(resumed->saw("final 50"));
}

TEST(EngineContract, ResumeReportsAnUnknownStream) {
  const auto connection =
      client.resume(address, {"none", 1}, 0, absl::Seconds(1), recorder);
  CHECK(recorder->saw("unknown"));
}

TEST(EngineContract, CancelBeforeTheSubmitRefusesItLater) {
  STRCMP_EQUAL("never_started", cancelOn(client, address, {"r", 1}).c_str());
  const auto connection = submit("r", 2);
  CHECK(recorder->saw("refused cancelled"));
  LONGS_EQUAL(0, engine.executions().size());
}

TEST(EngineContract, CancelDistinguishesStoppedFromFinished) {
  const auto running = submit("r", 10'000);
  CHECK(recorder->saw("token 0"));
  STRCMP_EQUAL("stopped", cancelOn(client, address, {"r", 1}).c_str());
  LONGS_EQUAL(0, engine.heldTokens());
  const auto done = submit("s", 1);
  CHECK(recorder->saw("final 1"));
  CHECK(eventually([&] { return engine.heldTokens() == 0; }));
  STRCMP_EQUAL("finished", cancelOn(client, address, {"s", 1}).c_str());
}

TEST(EngineContract, ReportsRefusedAndUnwrittenSubmits) {
  lab::EngineFaults faults;
  faults.Refuse = true;
  engine.setFaults(faults);
  const auto refused = submit("r", 2);
  CHECK(recorder->saw("refused refusing"));
  engine.stop();
  const auto unwritten = submit("s", 2);
  CHECK(recorder->saw("closed unwritten"));
}

TEST(EngineContract, LostAnswerOfASubmitIsAClosedConnection) {
  lab::EngineFaults faults;
  faults.LoseSubmitReply = true;
  engine.setFaults(faults);
  const auto connection = submit("r", 2);
  CHECK(recorder->saw("closed written"));
  CHECK(eventually([&] { return engine.executions().size() == 1; }));
}

TEST(EngineContract, ReportsItsLoadAndStaleStreams) {
  const auto report = [&] {
    return leaf::try_handle_all(
        [&] {
          return client.report(address, absl::Milliseconds(100),
                               absl::Seconds(1));
        },
        [] { return EngineReport(); });
  };
  auto connection = submit("r", 10'000);
  CHECK(recorder->saw("token 0"));
  LONGS_EQUAL(0, report().StaleStreams.size());
  LONGS_EQUAL(1, report().Load.Streams);
  connection.reset();
  CHECK(eventually([&] { return report().StaleStreams.size() == 1; }));
  const StreamHolding stale = report().StaleStreams[0];
  STRCMP_EQUAL("n/1", stale.Owner.c_str());
  CHECK(stale.Tokens > 10'000);
  CHECK(stale.DetachedFor >= absl::Milliseconds(100));
  CHECK(stale.TimeLeft <= absl::Seconds(30));
}

TEST_GROUP(ServiceContract){};

TEST(ServiceContract, DistinguishesRefusalsAnswersAndFailures) {
  lab::ServiceServer service(0);
  CHECK(static_cast<bool>(service.start()));
  drivers::backend::HttpServiceClient client;
  const auto call = [&] {
    ServiceCall request;
    request.RequestId = "r";
    request.Path = "x";
    request.Body = "b";
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
          BOOST_LEAF_AUTO(
              answer,
              client.call(fmt::format("127.0.0.1:{}", service.port()), request,
                          absl::Seconds(1), absl::Milliseconds(500)));
          return answer.RefusedBeforeStart ? std::string("refused")
                                           : std::to_string(answer.Status);
        },
        [](const BackendError &ec) {
          return std::string(ec.Written ? "written" : "unwritten");
        },
        [] { return std::string("?"); });
  };
  STRCMP_EQUAL("200", call().c_str());
  lab::ServiceFaults faults;
  faults.Refuse = true;
  service.setFaults(faults);
  STRCMP_EQUAL("refused", call().c_str());
  faults = {};
  faults.LoseReplyPercent = 100;
  service.setFaults(faults);
  STRCMP_EQUAL("written", call().c_str());
  faults = {};
  faults.DelayMs = 2000;
  service.setFaults(faults);
  STRCMP_EQUAL("written", call().c_str());
  service.stop();
  STRCMP_EQUAL("unwritten", call().c_str());
}
