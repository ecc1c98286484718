# External libraries; Debian has a package of each.
# Required by every build:
find_package(Threads REQUIRED)
find_package(ACE REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(FlatBuffers REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(cxxopts REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

# Required by the stand-alone daemon, the benchmarks and the tests:
if(NOT BALSAMWHEEL_DEPLOY)
  find_package(yaml-cpp REQUIRED)
  find_package(CURL REQUIRED)
  find_package(log4cplus REQUIRED)
  find_package(doctest REQUIRED)
  find_package(rapidcheck REQUIRED)
  pkg_check_modules(MICROHTTPD REQUIRED IMPORTED_TARGET libmicrohttpd)
endif()
