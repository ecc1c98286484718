// Concepts of the adapters that the core uses. To support another protocol for
// callers, targets or the platform, replace the adapter; the core stays the
// same.
#pragma once

#include "balsamwheel/detail/node/effects.h"
#include "balsamwheel/detail/platform/table.h"
#include "balsamwheel/detail/wire/peer.h"
#include "runtime/body_pipe.h"

#include <functional>

namespace balsamwheel::daemon {

/// Sends answers to callers. Thread-safe.
template <typename T>
concept CallerFrontend =
    requires(T Frontend, AnswerCaller Answer, runtime::BodyPipePtr BodyRest) {
      Frontend.answer(std::move(Answer), std::move(BodyRest));
      Frontend.closeAfterAnswers();
      Frontend.stopListening();
      { Frontend.openRequests() } -> std::convertible_to<std::size_t>;
    };

/// Sends orders to the local target and reports the end of each exactly once.
template <typename T>
concept TargetClient =
    requires(T Client, StartOrder Order, runtime::BodyPipePtr Upload,
             OrderId Id, GrantEpoch Grant) {
      Client.startOrder(std::move(Order), std::move(Upload));
      Client.cancelOrder(Id);
      Client.grant(Grant);
    };

/// Reads and commits rows. Calls back exactly once, on any thread.
template <typename T>
concept TableClient =
    requires(T Client, const TableRead &Read, const Transaction &Commit,
             std::function<void(TableReply)> Done) {
      Client.read(Read, Done);
      Client.commit(Commit, Done);
    };

} // namespace balsamwheel::daemon
