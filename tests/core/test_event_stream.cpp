#include "core/relay/event_stream.h"

#include <CppUTest/TestHarness.h>

using orioletally::core::relay::EventStream;

namespace {
std::string event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}
} // namespace

TEST_GROUP(EventStream){};

TEST(EventStream, GivesWholeEventsOnly) {
  EventStream stream;
  STRCMP_EQUAL("", stream.push("id: 1\nda").c_str());
  STRCMP_EQUAL(event(1).c_str(), stream.push("ta: x\n\nid: 2").c_str());
  LONGS_EQUAL(1, *stream.lastId());
  CHECK(stream.isInsideEvent());
}

TEST(EventStream, OutputIsIndependentOfChunkBoundaries) {
  const std::string whole = event(1) + "id: 2\r\ndata: y\r\n\r\n" + event(3);
  for (size_t cut = 0; cut <= whole.size(); ++cut) {
    EventStream stream;
    std::string out = stream.push(whole.substr(0, cut));
    out += stream.push(whole.substr(cut));
    STRCMP_EQUAL(whole.c_str(), out.c_str());
  }
}

TEST(EventStream, AResumedStreamLosesAndRepeatsNothing) {
  EventStream stream;
  std::string out = stream.push(event(1) + event(2) + "id: 3\ndat");
  stream.restart();
  // The next backend server may repeat events that were already delivered.
  out += stream.push(event(2) + event(3) + event(4));
  STRCMP_EQUAL((event(1) + event(2) + event(3) + event(4)).c_str(),
               out.c_str());
}

TEST(EventStream, SkipsEventsUpToTheLastIdOfTheCaller) {
  EventStream stream(12);
  STRCMP_EQUAL(event(13).c_str(), stream.push(event(12) + event(13)).c_str());
}

TEST(EventStream, TakeRestReturnsTheUnterminatedTail) {
  EventStream stream;
  stream.push(event(1) + ": bye");
  STRCMP_EQUAL(": bye", stream.takeRest().c_str());
  CHECK_FALSE(stream.isInsideEvent());
}

TEST(EventStream, LimitsTheSizeOfAnUnterminatedEvent) {
  EventStream stream(std::nullopt, 1'000);
  const std::string piece(100, 'x');
  for (int n = 0; n < 10; ++n)
    stream.push(piece);
  CHECK_FALSE(stream.isOverlong());
  STRCMP_EQUAL("", stream.push("x").c_str());
  CHECK(stream.isOverlong());
  CHECK_FALSE(stream.isInsideEvent());
  STRCMP_EQUAL("", stream.push("\n\nid: 7\n\n").c_str());
  // The limit applies anew to the bytes of another backend server.
  stream.restart();
  STRCMP_EQUAL(event(1).c_str(), stream.push(event(1)).c_str());
}

TEST(EventStream, SearchesAFragmentedEventOnce) {
  // A search from the beginning for each byte would take minutes.
  constexpr int Bytes = 4'000'000;
  EventStream stream(std::nullopt, Bytes + 2);
  for (int n = 0; n < Bytes; ++n)
    stream.push("x");
  LONGS_EQUAL(Bytes + 2, stream.push("\n\n").size());
}

TEST(EventStream, FindsAnEventEndThatArrivesByteByByte) {
  for (const std::string end : {"\n\n", "\r\n\r\n"}) {
    EventStream stream;
    const std::string whole = "id: 1\r\ndata: x" + end;
    std::string out;
    for (const char c : whole)
      out += stream.push({&c, 1});
    STRCMP_EQUAL(whole.c_str(), out.c_str());
  }
}
