#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "tests/outage_parts.h"
#include "tests/virtual_time.h"

namespace filbertspar::testing {

/// \brief Processes that may be frozen, and the store that they call.
class OutageStore {
 public:
  TimePoint Now() const { return m_time.Now(); }

  /// Called when a claim reaches the store, which has not looked at it yet.
  std::function<void()> m_on_claim;

 protected:
  using Vm = outage::Vm;
  using Answer = outage::Answer;
  using Write = outage::Write;

  explicit OutageStore(std::uint64_t seed) : m_rng(seed) {}

  /// Runs an event of the VM's process; one that is frozen runs it afterwards.
  void At(Vm& vm, TimePoint time, std::function<void()> action) {
    m_time.At(time, [this, &vm, action = std::move(action)] {
      if (const auto* freeze = outage::Find(vm.m_freezes, Now())) {
        At(vm, freeze->m_until, action);
      } else {
        action();
      }
    });
  }
  void After(Vm& vm, Duration delay, std::function<void()> action) {
    At(vm, Now() + delay, std::move(action));
  }

  Answer Perform(const std::optional<Write>& write) {
    Answer answer;
    answer.m_result = Answer::Result::kDone;
    if (write) {
      if (write->m_condition != m_version) {
        answer.m_result = Answer::Result::kConflict;
      } else {
        m_version = RowVersion(m_version.Value() + 1);
        m_row = write->m_record;
      }
    }
    answer.m_record = m_row;
    answer.m_version = m_version;
    return answer;
  }

  /// Sends a call to the store; `done` is called with its answer, or at the
  /// time-out.
  void Call(Vm& vm, std::optional<Write> write, bool is_claim, Duration hold,
            Duration timeout, std::function<void(const Answer&)> done) {
    const auto is_over = std::make_shared<bool>(false);
    const auto finish = [this, &vm, is_over, done](const Answer& answer) {
      if (*is_over) {
        return;
      }
      *is_over = true;
      if (answer.m_result == Answer::Result::kDone ||
          answer.m_result == Answer::Result::kConflict) {
        HandleStoreAnswer(vm.m_contact, Now());
      }
      done(answer);
    };
    After(vm, timeout, [finish] { finish(Answer()); });
    m_time.After(outage::kDelay, [this, &vm, write, is_claim, hold, finish] {
      if (is_claim && m_on_claim) {
        m_on_claim();
      }
      const auto* fault = outage::Find(vm.m_store_faults, Now());
      if (is_claim && fault == nullptr) {
        fault = outage::Find(vm.m_claim_faults, Now());
      }
      Duration delay = outage::kDelay + hold;
      if (fault != nullptr) {
        switch (fault->m_kind) {
          case StoreFault::kBusy: {
            Answer refusal;
            refusal.m_result = Answer::Result::kRefused;
            After(vm, outage::kDelay, [finish, refusal] { finish(refusal); });
            return;
          }
          case StoreFault::kSilent:
            return;
          case StoreFault::kLost:
            if (write) {
              Perform(write);
            }
            return;
          case StoreFault::kLate:
            if (write) {
              m_time.After(RandomDuration(m_rng, Seconds(1), Seconds(6)),
                           [this, write] { Perform(write); });
            }
            return;
          case StoreFault::kSlow:
            delay += Milliseconds(240);
            break;
        }
      }
      const Answer answer = Perform(write);
      After(vm, delay, [finish, answer] { finish(answer); });
    });
  }

  VirtualTime m_time;
  Rng m_rng;
  std::vector<std::unique_ptr<Vm>> m_vms;
  std::optional<OwnerRecord> m_row;
  RowVersion m_version;
};

}  // namespace filbertspar::testing
