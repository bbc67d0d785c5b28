#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "tests/outage_store.h"

namespace filbertspar::testing {

/// \brief Paths between VMs, and from VMs to workers.
class OutagePaths : public OutageStore {
 public:
  std::vector<Impairment<LinkFault>>& LinkFaults(std::size_t from,
                                                 std::size_t to) {
    return m_link_faults[{from, to}];
  }
  std::vector<Impairment<bool>>& WorkerCuts(std::size_t vm,
                                            std::size_t worker) {
    return m_worker_cuts[{vm, worker}];
  }

  /// Additional delay of slow links.
  Duration m_slow_link = Milliseconds(700);

 protected:
  using Link = outage::Link;

  using OutageStore::OutageStore;

  /// Delivers in order, when the path allows it, unless the link is closed
  /// while the message is held.
  void Send(Vm& from, Vm& to, const std::shared_ptr<Link>& link,
            std::function<void()> deliver) {
    TimePoint& last =
        link->m_to == to.m_index ? link->m_arrives_there : link->m_arrives_back;
    TimePoint arrives = Now() + outage::kDelay;
    bool is_held = false;
    if (const auto* fault =
            outage::Find(m_link_faults[{from.m_index, to.m_index}], Now())) {
      is_held = fault->m_kind == LinkFault::kCut;
      arrives = is_held ? fault->m_until : arrives + m_slow_link;
    }
    last = std::max(arrives, last);
    At(to, last, [link, is_held, deliver] {
      if (!is_held || !link->m_closed) {
        deliver();
      }
    });
  }

  void SendAlways(Vm& from, Vm& to, std::function<void()> deliver) {
    TimePoint arrives = Now() + outage::kDelay;
    if (const auto* fault =
            outage::Find(m_link_faults[{from.m_index, to.m_index}], Now())) {
      arrives = fault->m_kind == LinkFault::kCut ? fault->m_until
                                                 : arrives + m_slow_link;
    }
    At(to, arrives, std::move(deliver));
  }

  bool IsWorkerCut(std::size_t vm, std::size_t worker) const {
    const auto found = m_worker_cuts.find({vm, worker});
    return found != m_worker_cuts.end() &&
           outage::Find(found->second, Now()) != nullptr;
  }

 private:
  std::map<std::pair<std::size_t, std::size_t>,
           std::vector<Impairment<LinkFault>>>
      m_link_faults;
  std::map<std::pair<std::size_t, std::size_t>, std::vector<Impairment<bool>>>
      m_worker_cuts;
};

}  // namespace filbertspar::testing
