# Guards against a build that needs more memory than the machine has: ninja
# starts two more compiles than there are processors, whatever the memory.
include(${CMAKE_CURRENT_LIST_DIR}/../misc/compile_jobs.cmake)

function(expect name actual expected)
  if(NOT actual STREQUAL expected)
    message(FATAL_ERROR "${name}: ${actual}, expected ${expected}")
  endif()
endfunction()

compile_jobs(512 jobs)
expect("jobs with 512 MiB" ${jobs} 1)
compile_jobs(2400 jobs)
expect("jobs with 2.4 GB" ${jobs} 2)
compile_jobs(16384 jobs)
expect("jobs with 16 GiB" ${jobs} 14)

set(file ${CMAKE_CURRENT_BINARY_DIR}/compile_jobs_limit)
limit_memory(8192 ${file}.none memory)
expect("without a limit" ${memory} 8192)
foreach(limit "max\n" "9223372036854771712\n" "17179869184\n")
  file(WRITE ${file} ${limit})
  limit_memory(8192 ${file} memory)
  expect("limit ${limit}" ${memory} 8192)
endforeach()
file(WRITE ${file} "2147483648\n")
limit_memory(8192 ${file} memory)
expect("limit of 2 GiB" ${memory} 2048)
file(REMOVE ${file})

# The pool is used by the build, and one compile fits into its share.
file(READ ${CMAKE_CURRENT_LIST_DIR}/../CMakeLists.txt build)
if(NOT build MATCHES "\nlimit_compile_jobs\\(\\)")
  message(FATAL_ERROR "the build doesn't limit its compiles")
endif()
