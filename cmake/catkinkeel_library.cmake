# catkinkeel_library(NAME
#   [SOURCES file...] [TESTS file...] [DEPENDS target...]
#   [TEST_DEPENDS target...] [PROPERTY_RUNS count])
#
# Defines library catkinkeel_NAME from SOURCES (an interface library without
# them) and, from TESTS, the one test program catkinkeel_NAME_test.
function(catkinkeel_library name)
  cmake_parse_arguments(ARG "" "PROPERTY_RUNS" "SOURCES;TESTS;DEPENDS;TEST_DEPENDS" ${ARGN})
  set(library catkinkeel_${name})
  if(ARG_SOURCES)
    add_library(${library} STATIC ${ARG_SOURCES})
    target_link_libraries(${library} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(${library} INTERFACE)
    target_link_libraries(${library} INTERFACE ${ARG_DEPENDS})
  endif()
  if(ARG_TESTS)
    add_executable(${library}_test ${ARG_TESTS})
    target_link_libraries(${library}_test PRIVATE
      ${library} ${ARG_TEST_DEPENDS} rapidcheck Catch2::Catch2WithMain)
    add_test(NAME ${name} COMMAND ${library}_test)
    # A fixed seed gives the same verdict on every run.
    set(parameters "seed=20261204")
    if(ARG_PROPERTY_RUNS)
      string(APPEND parameters " max_success=${ARG_PROPERTY_RUNS}")
    endif()
    set_tests_properties(${name} PROPERTIES
      ENVIRONMENT "RC_PARAMS=${parameters}" TIMEOUT 600)
  endif()
endfunction()
