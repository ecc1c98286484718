// Public header of the coordination library: state machines that decide which
// instance owns a key, which daemon may run a request, and how much load a
// target can take. They perform no I/O; time, randomness and replies are passed
// in. The stand-alone daemon balsamwheeld uses the whole library;
// balsamwheel-sidecar uses only its load classes and basic types.
#pragma once

#include "balsamwheel/detail/coordination/coordinator.h"
#include "balsamwheel/detail/core/hash.h"
#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/outcome.h"
#include "balsamwheel/detail/core/safety_rules.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/load/admission.h"
#include "balsamwheel/detail/load/picker.h"
#include "balsamwheel/detail/load/retry_budget.h"
#include "balsamwheel/detail/load/shard_rates.h"
#include "balsamwheel/detail/load/sketch.h"
#include "balsamwheel/detail/manifest/document.h"
#include "balsamwheel/detail/manifest/model.h"
#include "balsamwheel/detail/node/effects.h"
#include "balsamwheel/detail/node/node.h"
#include "balsamwheel/detail/platform/table.h"
#include "balsamwheel/detail/wire/control.h"
#include "balsamwheel/detail/wire/peer.h"
#include "balsamwheel/detail/wire/request.h"
