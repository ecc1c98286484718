// Public header of the manifest library: reading and checking manifests, and
// the differences between two of them.
#pragma once

#include "balsamwheel/detail/manifest/diff.h"
#include "balsamwheel/detail/manifest/model.h"
#include "balsamwheel/detail/manifest/problem.h"
#include "balsamwheel/detail/manifest/reader.h"
