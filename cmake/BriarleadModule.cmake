# briarlead_add_module(<name> SOURCES ... DEPENDS ... LIBRARIES ... TESTS ...)
#
# Declares one module of modules/: a static library, the modules it depends on,
# the outside libraries it links, and its one test program <name>_tests.
function(briarlead_add_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LIBRARIES;TESTS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/modules)
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS} ${ARG_LIBRARIES})
  if(ARG_TESTS)
    briarlead_add_test_program(${name}_tests SOURCES ${ARG_TESTS} DEPENDS ${name})
  endif()
endfunction()

# briarlead_add_test_program(<name> SOURCES ... DEPENDS ...)
#
# Declares a CppUTest program; scripts/test runs every *_tests in build/*/bin.
function(briarlead_add_test_program name)
  if(NOT BRIARLEAD_BUILD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name}
    PRIVATE ${ARG_DEPENDS} briarlead_test_main PkgConfig::CPPUTEST)
endfunction()
