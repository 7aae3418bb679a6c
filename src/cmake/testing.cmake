enable_testing()

# Adds a Boost.Test program built from a *_test.cpp file.
function(wisteriayard_add_test name)
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  add_executable(${name} ${name}.cpp)
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE ${ARG_LIBS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# Lists the sources of the current folder, and the names of its *_test.cpp programs.
function(wisteriayard_sources sources_variable tests_variable)
  file(GLOB sources CONFIGURE_DEPENDS RELATIVE "${CMAKE_CURRENT_SOURCE_DIR}" *.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$|^main\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  list(TRANSFORM tests REPLACE "\\.cpp$" "")
  set(${sources_variable} ${sources} PARENT_SCOPE)
  set(${tests_variable} ${tests} PARENT_SCOPE)
endfunction()
