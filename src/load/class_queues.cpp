// Waiting requests by class, in deadline order.
#include "load/class_queues.h"

namespace balsamwheel {

void ClassQueues::push(RequestHandle Request, Urgency Class,
                       TimePoint Deadline) {
  const Entry Added{.m_Deadline = Deadline,
                    .m_Sequence = m_NextSequence++,
                    .m_Request = Request};
  if (m_Places.try_emplace(Request, Place{Class, Added}).second)
    queue(Class).insert(Added);
}

bool ClassQueues::erase(RequestHandle Request) {
  const auto Found = m_Places.find(Request);
  if (Found == m_Places.end())
    return false;
  queue(Found->second.m_Class).erase(Found->second.m_Entry);
  m_Places.erase(Found);
  return true;
}

std::optional<RequestHandle> ClassQueues::popFirst(Urgency Class) {
  return takeFront(queue(Class));
}

std::optional<RequestHandle> ClassQueues::popDueBefore(Urgency Class,
                                                       TimePoint Limit) {
  Queue &Waiting = queue(Class);
  if (Waiting.empty() || Waiting.begin()->m_Deadline >= Limit)
    return std::nullopt;
  return takeFront(Waiting);
}

std::optional<RequestHandle> ClassQueues::takeFront(Queue &Waiting) {
  if (Waiting.empty())
    return std::nullopt;
  const RequestHandle First = Waiting.begin()->m_Request;
  Waiting.erase(Waiting.begin());
  m_Places.erase(First);
  return First;
}

std::optional<TimePoint> ClassQueues::firstDeadline() const {
  std::optional<TimePoint> First;
  for (const Queue &Waiting : m_Queues)
    if (!Waiting.empty() && (!First || Waiting.begin()->m_Deadline < *First))
      First = Waiting.begin()->m_Deadline;
  return First;
}

ClassQueues::Queue &ClassQueues::queue(Urgency Class) {
  return m_Queues.at(static_cast<std::size_t>(Class));
}

const ClassQueues::Queue &ClassQueues::queue(Urgency Class) const {
  return m_Queues.at(static_cast<std::size_t>(Class));
}

} // namespace balsamwheel
