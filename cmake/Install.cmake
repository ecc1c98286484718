# Installs the coordination library and its headers as a CMake package.
include(CMakePackageConfigHelpers)
set(PACKAGE_DIR ${CMAKE_INSTALL_LIBDIR}/cmake/balsamwheel)
install(TARGETS balsamwheel_coordination EXPORT balsamwheelTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY include/balsamwheel DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(EXPORT balsamwheelTargets NAMESPACE balsamwheel::
  DESTINATION ${PACKAGE_DIR})
configure_package_config_file(cmake/balsamwheelConfig.cmake.in
  balsamwheelConfig.cmake INSTALL_DESTINATION ${PACKAGE_DIR})
write_basic_package_version_file(balsamwheelConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES
  ${CMAKE_BINARY_DIR}/balsamwheelConfig.cmake
  ${CMAKE_BINARY_DIR}/balsamwheelConfigVersion.cmake
  DESTINATION ${PACKAGE_DIR})
