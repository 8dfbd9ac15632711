# Language level, warnings, sanitizers and the compiler cache.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE Release CACHE STRING "Build type" FORCE)
endif()
# Assertions stay on in every build type: they guard invariants, not debugging.
set(CMAKE_CXX_FLAGS_RELEASE "-O2 -g1")

set(SANITIZE "" CACHE STRING "Sanitizers, for instance address,undefined or thread")
add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Werror)
if(SANITIZE)
    add_compile_options(-fsanitize=${SANITIZE} -fno-omit-frame-pointer)
    add_link_options(-fsanitize=${SANITIZE})
    # GCC reports false positives in library headers under sanitizers.
    add_compile_options(-Wno-maybe-uninitialized -Wno-tsan)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    # Relative paths let several checkouts share one cache.
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env
        CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE_PROGRAM})
endif()

include_directories(${CMAKE_SOURCE_DIR}/src/include)
