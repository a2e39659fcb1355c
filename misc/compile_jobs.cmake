# Limits the compiles that run at once to what the machine's memory allows.

# Memory that the largest compile needs, in MiB.
set(COMPILE_MEMORY_MIB 1100)

# Sets ${out} to the number of compiles that fit into ${memory_mib} MiB.
function(compile_jobs memory_mib out)
  math(EXPR jobs "${memory_mib} / ${COMPILE_MEMORY_MIB}")
  if(jobs LESS 1)
    set(jobs 1)
  endif()
  set(${out} ${jobs} PARENT_SCOPE)
endfunction()

# Sets ${out} to the smaller of ${memory_mib} and the limit of a control group,
# in bytes, that the file ${limit_file} states; the file may be missing or say
# "max".
function(limit_memory memory_mib limit_file out)
  set(${out} ${memory_mib} PARENT_SCOPE)
  if(NOT EXISTS ${limit_file})
    return()
  endif()
  file(READ ${limit_file} limit)
  string(STRIP "${limit}" limit)
  # Control groups without a limit may state a number of 19 digits.
  string(LENGTH "${limit}" digits)
  if(NOT limit MATCHES "^[0-9]+$" OR digits GREATER 18)
    return()
  endif()
  math(EXPR limit_mib "${limit} / 1048576")
  if(limit_mib LESS memory_mib)
    set(${out} ${limit_mib} PARENT_SCOPE)
  endif()
endfunction()

# Gives all compiles of the targets that follow a pool of their own.
macro(limit_compile_jobs)
  cmake_host_system_information(RESULT memory QUERY AVAILABLE_PHYSICAL_MEMORY)
  foreach(file /sys/fs/cgroup/memory.max
      /sys/fs/cgroup/memory/memory.limit_in_bytes)
    limit_memory(${memory} ${file} memory)
  endforeach()
  compile_jobs(${memory} jobs)
  set_property(GLOBAL APPEND PROPERTY JOB_POOLS compile=${jobs})
  set(CMAKE_JOB_POOL_COMPILE compile)
endmacro()
