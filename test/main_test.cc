// Contains the main function of the test program, which Catch2 generates.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
