# Compiler settings shared by all targets.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
# -O1 halves the build time of the Beast and MSM sources against -O2; benches set WISTERIAYARD_OPTIMIZE=-O2.
set(WISTERIAYARD_OPTIMIZE "-O1" CACHE STRING "optimisation flag")
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "${WISTERIAYARD_OPTIMIZE} -g1")
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")

set(WISTERIAYARD_SANITIZE "" CACHE STRING "sanitizers, such as address,undefined or thread")
if(WISTERIAYARD_SANITIZE)
  add_compile_options(-fsanitize=${WISTERIAYARD_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
  add_link_options(-fsanitize=${WISTERIAYARD_SANITIZE})
  if(WISTERIAYARD_SANITIZE STREQUAL "thread")
    add_compile_options(-Wno-tsan) # ThreadSanitizer does not support the fences used by Asio
  endif()
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()

# Warnings are errors in project code; library headers are included as system headers.
add_compile_options(-Wall -Wextra -Werror)
# g++ 12 reports false mismatches in Asio's allocation of coroutine frames.
add_compile_options(-Wno-mismatched-new-delete)
# With -O2, g++ 12 reports members of variant alternatives that are never read; clang-tidy does not know the option.
if(WISTERIAYARD_OPTIMIZE STREQUAL "-O2")
  add_compile_options(-Wno-maybe-uninitialized)
endif()
