// Public header of the manifest library: reading, validating and comparing
// manifests.
#pragma once

#include "balsamwheel/detail/manifest/diff.h"
#include "balsamwheel/detail/manifest/model.h"
#include "balsamwheel/detail/manifest/problem.h"
#include "balsamwheel/detail/manifest/reader.h"
