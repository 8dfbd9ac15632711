# One-line declarations of libraries, tools and tests.

include(Catch)

# rww_library(NAME SOURCES a.cpp... [TESTS a_test.cpp...] [DEPENDS targets...] [TEST_DEPENDS targets...])
# Declares library NAME and, with TESTS, the test program NAME_test.
function(rww_library NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;TESTS;DEPENDS;TEST_DEPENDS" ${ARGN})
    add_library(${NAME} STATIC ${ARG_SOURCES})
    target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS})
    if(ARG_TESTS)
        rww_test(${NAME}_test SOURCES ${ARG_TESTS} DEPENDS ${NAME} ${ARG_TEST_DEPENDS})
    endif()
endfunction()

# rww_tool(NAME SOURCES main.cpp... [DEPENDS targets...])
function(rww_tool NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS})
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# rww_test(NAME SOURCES x_test.cpp... [DEPENDS targets...])
function(rww_test NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_link_libraries(${NAME} PRIVATE rww_test_main ${ARG_DEPENDS})
    # One test per test case, so that KNOWN-RED.txt can name exactly the cases that fail.
    catch_discover_tests(${NAME} TEST_PREFIX "${NAME}: " PROPERTIES TIMEOUT 300)
endfunction()

# rww_testsuite(NAME [CASES a b...]) runs testsuite/NAME/run.sh against the built programs, with CASES
# once for each, with the case as second argument.
function(rww_testsuite NAME)
    cmake_parse_arguments(ARG "" "" "CASES" ${ARGN})
    if(NOT ARG_CASES)
        rww_add_testsuite(testsuite_${NAME} ${NAME})
    endif()
    foreach(case_name IN LISTS ARG_CASES)
        rww_add_testsuite(testsuite_${NAME}_${case_name} ${NAME} ${case_name})
    endforeach()
endfunction()

function(rww_add_testsuite TEST_NAME FOLDER)
    add_test(NAME ${TEST_NAME} COMMAND ${CMAKE_SOURCE_DIR}/testsuite/${FOLDER}/run.sh
             ${CMAKE_BINARY_DIR}/bin ${ARGN}
             WORKING_DIRECTORY ${CMAKE_SOURCE_DIR}/testsuite/${FOLDER})
    set_tests_properties(${TEST_NAME} PROPERTIES TIMEOUT 300 RUN_SERIAL ON)
endfunction()
