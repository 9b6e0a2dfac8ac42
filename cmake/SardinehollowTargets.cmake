# Compile options shared by all hand-written targets.
add_library(sardinehollow_options INTERFACE)
# GCC 12 reports false -Wrestrict warnings for std::string concatenation (GCC bug 105651).
target_compile_options(sardinehollow_options INTERFACE -Wall -Wextra -Werror -Wno-restrict)
target_include_directories(sardinehollow_options INTERFACE ${CMAKE_SOURCE_DIR}/modules)
target_compile_definitions(sardinehollow_options
                           INTERFACE SARDINEHOLLOW_VERSION="${PROJECT_VERSION}")
if(SARDINEHOLLOW_SANITIZE)
  target_compile_options(sardinehollow_options INTERFACE -fsanitize=${SARDINEHOLLOW_SANITIZE}
                                                         -fno-omit-frame-pointer)
  target_link_options(sardinehollow_options INTERFACE -fsanitize=${SARDINEHOLLOW_SANITIZE})
endif()

# sardinehollow_add_module(NAME DEPENDS...): adds a static library of all sources below modules/NAME.
function(sardinehollow_add_module name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/modules/${name}/*.cpp
       ${CMAKE_SOURCE_DIR}/modules/${name}/*.cc)
  add_library(${name} STATIC ${sources})
  target_link_libraries(${name} PUBLIC sardinehollow_options ${ARGN})
endfunction()

# sardinehollow_add_program(NAME DIRECTORY DEPENDS...): adds an executable of all sources in DIRECTORY.
function(sardinehollow_add_program name directory)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${directory}/*.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE sardinehollow_options ${ARGN})
endfunction()

# sardinehollow_add_tests(NAME DIRECTORY DEPENDS...): adds a Catch2 test program of all sources below
# DIRECTORY; without sources it adds nothing.
function(sardinehollow_add_tests name directory)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${directory}/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(${name} ${sources} ${CMAKE_SOURCE_DIR}/tests/support/TestMain.cpp)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE sardinehollow_options Catch2::Catch2 rapidcheck ${ARGN})
  # RapidCheck's seed is fixed so that each run generates the same cases.
  catch_discover_tests(${name} TEST_PREFIX "${directory}/"
                       PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 120)
endfunction()
