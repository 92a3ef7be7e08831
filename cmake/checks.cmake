# Checks that are scripts: each is one ctest entry. A script is listed here once it exists.
add_test(NAME check_core COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-core WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
add_test(NAME checker COMMAND python3 ${CMAKE_SOURCE_DIR}/tests/test_checker.py)
add_test(NAME bench_bounds COMMAND ${CMAKE_SOURCE_DIR}/scripts/bench WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
set_tests_properties(bench_bounds PROPERTIES TIMEOUT 600 PROCESSORS 3)
