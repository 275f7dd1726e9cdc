# Test cases of library `name` that KNOWN-RED.txt lists as "name/TEST CASE | ...".
# tools/run_tests.sh reads the same file.
function(catkinkeel_known_red name result)
  set(cases "")
  set(file ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
  set_property(DIRECTORY ${PROJECT_SOURCE_DIR} APPEND PROPERTY
    CMAKE_CONFIGURE_DEPENDS ${file})
  if(EXISTS ${file})
    file(STRINGS ${file} lines)
    foreach(line IN LISTS lines)
      if(line MATCHES "^${name}/([^|]*[^| ]) *[|]")
        list(APPEND cases "${CMAKE_MATCH_1}")
      endif()
    endforeach()
  endif()
  set(${result} "${cases}" PARENT_SCOPE)
endfunction()

# catkinkeel_library(NAME
#   [SOURCES file...] [TESTS file...] [DEPENDS target...]
#   [TEST_DEPENDS target...])
#
# Defines library catkinkeel_NAME from SOURCES (an interface library without
# them) and, from TESTS, the one test program catkinkeel_NAME_test. A test case
# that is known to be red becomes a test of its own, NAME/TEST CASE.
function(catkinkeel_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;TESTS;DEPENDS;TEST_DEPENDS" ${ARGN})
  set(library catkinkeel_${name})
  if(ARG_SOURCES)
    add_library(${library} STATIC ${ARG_SOURCES})
    target_link_libraries(${library} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(${library} INTERFACE)
    target_link_libraries(${library} INTERFACE ${ARG_DEPENDS})
  endif()
  if(ARG_TESTS AND NOT CATKINKEEL_EDGE_ONLY)
    add_executable(${library}_test ${ARG_TESTS})
    target_link_libraries(${library}_test PRIVATE
      ${library} ${ARG_TEST_DEPENDS} rapidcheck Catch2::Catch2WithMain)
    catkinkeel_known_red(${name} red)
    set(others "")
    set(tests ${name})
    foreach(case IN LISTS red)
      # Commas and brackets have a meaning in Catch2's test specifications.
      string(REPLACE "," "\\," escaped "${case}")
      string(REPLACE "[" "\\[" escaped "${escaped}")
      list(APPEND others "~${escaped}")
      list(APPEND tests "${name}/${case}")
      add_test(NAME "${name}/${case}" COMMAND ${library}_test "${escaped}")
    endforeach()
    add_test(NAME ${name} COMMAND ${library}_test ${others})
    # A fixed seed gives the same verdict on every run. The timeout only stops a
    # test that hangs: the flow test took 506 s with the address sanitizer.
    set_tests_properties(${tests} PROPERTIES
      ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 1800)
    foreach(case IN LISTS red)
      # Shrinking a schedule takes minutes.
      set_tests_properties("${name}/${case}" PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=20261204 noshrink=1")
    endforeach()
  endif()
endfunction()
