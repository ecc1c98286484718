# Finds the ACE library, which provides no CMake package, and defines the imported
# target ACE::ACE.
find_path(ACE_INCLUDE_DIR ace/ACE.h)
find_library(ACE_LIBRARY ACE)
include(FindPackageHandleStandardArgs)
find_package_handle_standard_args(ACE REQUIRED_VARS ACE_LIBRARY ACE_INCLUDE_DIR)
if(ACE_FOUND AND NOT TARGET ACE::ACE)
  add_library(ACE::ACE UNKNOWN IMPORTED)
  set_target_properties(ACE::ACE PROPERTIES
    IMPORTED_LOCATION "${ACE_LIBRARY}"
    INTERFACE_INCLUDE_DIRECTORIES "${ACE_INCLUDE_DIR}")
endif()
