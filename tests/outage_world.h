#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/outage_watch.h"

namespace filbertspar::testing {

/// \brief VMs that watch, claim and hold the ownership in virtual time, with
/// the decisions of the product, and workers whose runs last as long as an
/// owner renews their leases. The store, the links, the VMs and the workers are
/// impaired at given times.
class OutageWorld : public OutageWatch {
 public:
  OutageWorld(std::uint64_t seed, std::size_t vms, std::size_t workers)
      : OutageWatch(seed), m_workers(workers) {
    for (std::size_t i = 0; i < vms; ++i) {
      m_vms.push_back(std::make_unique<Vm>());
      Vm& vm = *m_vms.back();
      vm.m_index = i;
      vm.m_own.m_vm = VmName("vm-" + std::to_string(i));
      vm.m_own.m_incarnation = i + 1;
      vm.m_self = {vm.m_own.m_vm, i + 1, Millicores(250),
                   static_cast<double>(m_rng.Below(1000)) / 1000};
      After(vm, RandomDuration(m_rng, Duration(0), Milliseconds(300)),
            [this, &vm] {
              Follow(vm);
              Feed(vm);
            });
    }
  }

  /// Plays until `end`.
  void RunUntil(TimePoint end) { m_time.RunUntil(end); }

  /// Index of the VM that the row names; nullopt without one.
  std::optional<std::size_t> Holder() const {
    for (const auto& vm : m_vms) {
      if (m_row && m_row->m_vm == vm->m_own.m_vm) {
        return vm->m_index;
      }
    }
    return std::nullopt;
  }

  /// Number of VMs that may send orders now.
  std::size_t CountSenders() const {
    return static_cast<std::size_t>(std::count_if(
        m_vms.begin(), m_vms.end(),
        [this](const auto& vm) { return vm->m_term && MaySend(*vm); }));
  }

  std::vector<Impairment<StoreFault>>& StoreFaults(std::size_t vm) {
    return m_vms[vm]->m_store_faults;
  }
  /// Of claims only.
  std::vector<Impairment<StoreFault>>& ClaimFaults(std::size_t vm) {
    return m_vms[vm]->m_claim_faults;
  }
  std::vector<Impairment<bool>>& Freezes(std::size_t vm) {
    return m_vms[vm]->m_freezes;
  }
  std::vector<outage::Worker>& Workers() { return m_workers; }
  /// Planted: what a new owner knows of its contact with the store is from when
  /// it sent the claim.
  bool m_plant_stale_claim = false;

  /// Planted: a statement counts from when it arrives, or its link opens.
  bool m_plant_undated = false;
  /// Planted: an owner counts a write that the row shows as sent last, and its
  /// term as confirmed when it begins.
  bool m_plant_late_confirmation = false;

  std::vector<outage::Breach> m_breaches;
  std::size_t m_terms = 0;
  std::size_t m_restarts = 0;
  /// VMs that began a term after the first, and when.
  std::vector<std::pair<std::size_t, TimePoint>> m_takeovers;

 private:
  using Peer = outage::Peer;
  using Term = outage::Term;
  using Worker = outage::Worker;

  // The term of an owner.

  void BeginTerm(Vm& vm, RowVersion version, bool is_answered) override {
    Term term;
    StoreContact contact = vm.m_contact;
    if (m_plant_stale_claim) {
      contact = vm.m_contact_at_claim;
      contact.m_reached_at = Now();
    }
    term.m_won = WinClaim(vm.m_last_claim, vm.m_self, version, is_answered,
                          contact, Now());
    term.m_number = ++m_terms;
    term.m_version = version;
    term.m_confirmation.m_confirmed_at =
        m_plant_late_confirmation ? Now() : term.m_won.m_claimed_at;
    term.m_orders_until = term.m_won.m_previous_orders_until;
    term.m_leases_until = term.m_orders_until + outage::kLease * 21 / 20 +
                          outage::kInheritedLeaseMargin;
    term.m_heard.resize(m_workers.size());
    if (m_terms > 1) {
      m_takeovers.push_back({vm.m_index, Now()});
    }
    m_bounds[term.m_number] = term.m_orders_until;
    vm.m_last_term = term.m_won.m_record.m_epoch;
    vm.m_term = std::move(term);
    ++vm.m_follow;
    vm.m_waits_to_read = false;
    CloseLink(vm);
    const std::uint64_t number = vm.m_term->m_number;
    WriteLater(vm, number);
    SendOrders(vm, number);
  }

  bool IsInTerm(const Vm& vm, std::uint64_t number) const {
    return vm.m_term && vm.m_term->m_number == number;
  }

  void EndTerm(Vm& vm) {
    vm.m_view = ViewAfterTerm(vm.m_term->m_won);
    vm.m_term.reset();
    Follow(vm);
  }

  void WriteLater(Vm& vm, std::uint64_t number) {
    const TimePoint due =
        vm.m_term->m_confirmation.m_confirmed_at + outage::kRenewPeriod;
    At(vm, due, [this, &vm, number] {
      if (!IsInTerm(vm, number)) {
        return;
      }
      OwnerRecord record = vm.m_term->m_won.m_record;
      record.m_write_number = ++vm.m_term->m_write_number;
      record.m_is_sole = Now() > vm.m_term->m_orders_until;
      AttemptWrite(vm, number, {vm.m_term->m_version, record},
                   outage::kWriteTimeout);
    });
  }

  void AttemptWrite(Vm& vm, std::uint64_t number, const Write& write,
                    Duration timeout) {
    const TimePoint sent = Now();
    HandleWriteSent(vm.m_term->m_confirmation, sent);
    Call(vm, write, false, Duration(0), timeout,
         [this, &vm, number, write, timeout, sent](const Answer& answer) {
           if (!IsInTerm(vm, number)) {
             return;
           }
           switch (answer.m_result) {
             case Answer::Result::kDone:
               HandleWriteAnswered(vm.m_term->m_confirmation);
               HandleWritten(vm, number, answer.m_version);
               break;
             case Answer::Result::kConflict:
               ResolveConflict(vm, number, write);
               break;
             case Answer::Result::kRefused:
               Retry(vm, number, outage::kRefusedRetry, write, timeout);
               break;
             case Answer::Result::kUnknown:
               Retry(vm, number,
                     std::max(Duration(0),
                              outage::kRetryInterval - (Now() - sent)),
                     write, std::min(timeout * 2, outage::kMaxWriteTimeout));
               break;
           }
         });
  }

  void Retry(Vm& vm, std::uint64_t number, Duration pause, const Write& write,
             Duration timeout) {
    After(vm, pause, [this, &vm, number, write, timeout] {
      if (IsInTerm(vm, number)) {
        AttemptWrite(vm, number, write, timeout);
      }
    });
  }

  void HandleWritten(Vm& vm, std::uint64_t number, RowVersion version) {
    vm.m_term->m_version = version;
    WriteLater(vm, number);
  }

  void ResolveConflict(Vm& vm, std::uint64_t number, const Write& write) {
    Call(vm, std::nullopt, false, Duration(0), outage::kMaxWriteTimeout,
         [this, &vm, number, write](const Answer& answer) {
           if (!IsInTerm(vm, number)) {
             return;
           }
           if (answer.m_result != Answer::Result::kDone) {
             After(vm, outage::kRefusedRetry, [this, &vm, number, write] {
               if (IsInTerm(vm, number)) {
                 ResolveConflict(vm, number, write);
               }
             });
           } else if (answer.m_record == write.m_record) {
             if (m_plant_late_confirmation) {
               HandleWriteAnswered(vm.m_term->m_confirmation);
             } else {
               HandleWriteFound(vm.m_term->m_confirmation);
             }
             HandleWritten(vm, number, answer.m_version);
           } else {
             EndTerm(vm);
           }
         });
  }

  std::vector<PeerStatement> Statements(const Vm& vm) const {
    std::vector<PeerStatement> statements;
    for (const auto& [index, peer] : vm.m_term->m_peers) {
      statements.push_back(
          {peer.m_connected, peer.m_stated_at, peer.m_store_age});
    }
    return statements;
  }

  bool MaySend(const Vm& vm) const {
    const TimePoint confirmed_at = vm.m_term->m_confirmation.m_confirmed_at;
    return IsRecentlyConfirmed(confirmed_at, Now()) ||
           MayGoOnUnconfirmed(confirmed_at, Statements(vm), Now());
  }

  void SendOrders(Vm& vm, std::uint64_t number) {
    After(vm, outage::kTick, [this, &vm, number] {
      if (!IsInTerm(vm, number)) {
        return;
      }
      if (MaySend(vm)) {
        CheckOrders(vm);
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
          Poll(vm, number, i);
        }
        RestartLostRuns(vm);
      }
      ForgetPeers(vm);
      SendOrders(vm, number);
    });
  }

  /// No owner sends orders later than a next one has reckoned with.
  void CheckOrders(const Vm& vm) {
    for (const auto& [number, until] : m_bounds) {
      if (number > vm.m_term->m_number && Now() > until) {
        AddBreach("late-order",
                  absl::StrCat("vm=", vm.m_index, " term=", vm.m_term->m_number,
                               " next=", number,
                               " late_ms=", ToMilliseconds(Now() - until)));
      }
    }
  }

  void AddBreach(const std::string& rule, std::string detail) {
    if (m_breaches.empty() || m_breaches.back().m_rule != rule ||
        m_breaches.back().m_detail != detail) {
      m_breaches.push_back({rule, Now(), std::move(detail)});
    }
  }

  /// A poll renews the lease; its answer lists what the worker runs.
  void Poll(Vm& vm, std::uint64_t number, std::size_t index) {
    const TimePoint deadline = Now() + outage::kLease;
    const FencingNumber fencing = vm.m_term->m_won.m_record.m_epoch;
    const bool is_silent =
        outage::Find(m_workers[index].m_silent, Now()) != nullptr ||
        IsWorkerCut(vm.m_index, index);
    if (is_silent) {
      return;
    }
    m_time.After(
        outage::kDelay + m_workers[index].m_delay,
        [this, &vm, number, index, deadline, fencing] {
          Worker& worker = m_workers[index];
          worker.m_has_run = worker.m_has_run && Now() <= worker.m_lease_until;
          if (fencing < worker.m_fencing) {
            return;
          }
          worker.m_fencing = fencing;
          worker.m_lease_until = std::max(worker.m_lease_until, deadline);
          After(vm, outage::kDelay, [this, &vm, number, index] {
            if (IsInTerm(vm, number)) {
              vm.m_term->m_heard[index] = true;
            }
          });
        });
  }

  /// Starts the runs again of workers that have not answered by the time at
  /// which their leases must be over.
  void RestartLostRuns(Vm& vm) {
    if (vm.m_term->m_has_restarted || Now() <= vm.m_term->m_leases_until) {
      return;
    }
    vm.m_term->m_has_restarted = true;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      const Worker& worker = m_workers[i];
      if (vm.m_term->m_heard[i]) {
        continue;
      }
      ++m_restarts;
      if (worker.m_has_run && Now() <= worker.m_lease_until) {
        AddBreach("twice",
                  absl::StrCat("vm=", vm.m_index, " worker=", i, " lease_ms=",
                               ToMilliseconds(worker.m_lease_until - Now())));
      }
    }
  }

  void ForgetPeers(Vm& vm) {
    const bool is_confirmed = Now() - vm.m_term->m_confirmation.m_confirmed_at <
                              outage::kMaxConfirmationAge;
    std::erase_if(vm.m_term->m_peers, [&](const auto& entry) {
      const Peer& peer = entry.second;
      return !peer.m_connected && is_confirmed &&
             Now() - peer.m_disconnected_at > kPeerRemovalDelay;
    });
  }

  // Links of other VMs to the owner.

  Vm* HolderOf(const OwnerView& view) {
    for (const auto& vm : m_vms) {
      if (view.m_record &&
          vm->m_own.m_incarnation == view.m_record->m_incarnation) {
        return vm.get();
      }
    }
    return nullptr;
  }

  void SetHealth(Vm& vm, LinkHealth health) {
    if (vm.m_view.m_link != health) {
      vm.m_view.m_link = health;
      const std::uint64_t loop = vm.m_follow;
      After(vm, Duration(0), [this, &vm, loop] { Wake(vm, loop); });
    }
  }

  void CloseLink(Vm& vm) {
    if (vm.m_link) {
      vm.m_link->m_closed = true;
      vm.m_link.reset();
    }
  }

  /// Opens a link to the holder that the view names, again and again.
  void Connect(Vm& vm) override {
    CloseLink(vm);
    Vm* holder = HolderOf(vm.m_view);
    if (holder == nullptr || holder == &vm || vm.m_term) {
      return;
    }
    const auto link = std::make_shared<Link>();
    link->m_to = holder->m_index;
    vm.m_link = link;
    link->m_last_received_at = Now();
    Send(vm, *holder, link, [this, &vm, holder, link] {
      if (!holder->m_term) {
        Send(*holder, vm, link, [this, &vm, link] { Reconnect(vm, link); });
        return;
      }
      link->m_term = holder->m_term->m_number;
      Peer& peer = holder->m_term->m_peers[vm.m_index];
      peer.m_connected = true;
      if (m_plant_undated) {
        peer.m_stated_at = Now();
      }
      Send(*holder, vm, link, [this, &vm, link] {
        link->m_is_open = true;
        link->m_last_received_at = Now();
        SetHealth(vm, LinkHealth::kGood);
        SendPings(vm, link);
      });
    });
    WatchSilence(vm, link);
  }

  void Reconnect(Vm& vm, const std::shared_ptr<Link>& link) {
    if (link->m_closed) {
      return;
    }
    link->m_closed = true;
    // The other end learns of it when the packet arrives.
    Vm& holder = *m_vms[link->m_to];
    SendAlways(vm, holder, [this, &vm, &holder, link] {
      if (IsInTerm(holder, link->m_term) && !HasNewerLink(vm, *link)) {
        Peer& peer = holder.m_term->m_peers[vm.m_index];
        peer.m_connected = false;
        peer.m_disconnected_at = Now();
      }
    });
    SetHealth(vm, LinkHealth::kSilent);
    After(vm, outage::kReconnect, [this, &vm, link] {
      if (vm.m_link == link) {
        Connect(vm);
      }
    });
  }

  static bool HasNewerLink(const Vm& vm, const Link& link) {
    return vm.m_link && vm.m_link.get() != &link &&
           vm.m_link->m_term == link.m_term;
  }

  void WatchSilence(Vm& vm, const std::shared_ptr<Link>& link) {
    After(vm, Milliseconds(50), [this, &vm, link] {
      if (link->m_closed || vm.m_link != link) {
        return;
      }
      const Duration silent = Now() - link->m_last_received_at;
      if (silent > outage::kSilence) {
        Reconnect(vm, link);
        return;
      }
      if (silent > outage::kLate && vm.m_view.m_link == LinkHealth::kGood) {
        SetHealth(vm, LinkHealth::kLate);
      }
      WatchSilence(vm, link);
    });
  }

  void SendPings(Vm& vm, const std::shared_ptr<Link>& link) {
    if (link->m_closed || vm.m_link != link) {
      return;
    }
    Vm& holder = *m_vms[link->m_to];
    const Duration age = vm.m_contact.m_reached_at == TimePoint::min()
                             ? Duration(Seconds(3600))
                             : Now() - vm.m_contact.m_reached_at;
    const TimePoint sent = Now();
    const TimePoint stated_at = m_plant_undated || !link->m_clock
                                    ? TimePoint::min()
                                    : EarliestReading(*link->m_clock, sent);
    Send(vm, holder, link, [this, &vm, &holder, link, age, sent, stated_at] {
      if (!IsInTerm(holder, link->m_term)) {
        return;
      }
      Peer& peer = holder.m_term->m_peers[vm.m_index];
      peer.m_store_age = age;
      peer.m_stated_at = m_plant_undated ? Now() : stated_at;
      const bool is_confirmed =
          Now() - holder.m_term->m_confirmation.m_confirmed_at <
          outage::kMaxConfirmationAge;
      const TimePoint reading = Now();
      Send(holder, vm, link, [this, &vm, link, is_confirmed, sent, reading] {
        if (vm.m_link == link) {
          link->m_clock = PeerClock{sent, Now(), reading};
          HandlePingAnswered(vm.m_view, m_vms[link->m_to]->m_own.m_incarnation,
                             sent);
          link->m_last_received_at = Now();
          SetHealth(vm, is_confirmed ? LinkHealth::kGood
                                     : LinkHealth::kStoreUnreachable);
        }
      });
    });
    After(vm, outage::kPingPeriod, [this, &vm, link] { SendPings(vm, link); });
  }

  std::vector<Worker> m_workers;
  /// Until when each term reckons with orders of the ones before.
  std::map<std::uint64_t, TimePoint> m_bounds;
};

}  // namespace filbertspar::testing
