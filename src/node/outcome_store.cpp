// Implements the bounded store of outcome records.
#include "balsamwheel/detail/node/outcome_store.h"

#include <algorithm>

namespace balsamwheel {

namespace {

std::string recordKey(const ServiceName &Service, const RequestId &Id) {
  std::string Key = Service.value();
  Key.push_back('\0');
  Key += Id.value();
  return Key;
}

bool isOpen(const OutcomeRecord &Record) {
  return Record.m_State == RecordState::Pending ||
         Record.m_State == RecordState::Running;
}

} // namespace

OutcomeRecord *OutcomeStore::find(const ServiceName &Service,
                                  const RequestId &Id) {
  const auto It = m_Records.find(recordKey(Service, Id));
  return It == m_Records.end() ? nullptr : &It->second;
}

OutcomeRecord &OutcomeStore::insert(const ServiceName &Service,
                                    const RequestId &Id, TimePoint Now) {
  OutcomeRecord &Record = m_Records[recordKey(Service, Id)];
  Record = OutcomeRecord();
  Record.m_Created = Now;
  return Record;
}

void OutcomeStore::erase(const ServiceName &Service, const RequestId &Id) {
  m_Records.erase(recordKey(Service, Id));
}

void OutcomeStore::markCompleted(const ServiceName &Service,
                                 const RequestId &Id, TimePoint Now) {
  m_EvictionQueue.push_back({Now, recordKey(Service, Id)});
}

void OutcomeStore::expire(TimePoint Now) {
  while (!m_EvictionQueue.empty()) {
    const Completed &Oldest = m_EvictionQueue.front();
    if (Oldest.m_At + m_Retention > Now && m_EvictionQueue.size() <= m_Limit)
      return;
    evict(Oldest);
    m_EvictionQueue.pop_front();
  }
}

void OutcomeStore::evict(const Completed &Oldest) {
  const auto It = m_Records.find(Oldest.m_Key);
  if (It == m_Records.end() || isOpen(It->second))
    return;
  m_EvictedUpTo = std::max(m_EvictedUpTo, It->second.m_Created);
  m_Records.erase(It);
}

} // namespace balsamwheel
