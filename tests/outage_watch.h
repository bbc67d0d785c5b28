#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "tests/outage_paths.h"

namespace filbertspar::testing {

/// \brief VMs that follow the owner's row and claim it.
class OutageWatch : public OutagePaths {
 protected:
  using OutagePaths::OutagePaths;
  OutageWatch(const OutageWatch&) = delete;
  OutageWatch& operator=(const OutageWatch&) = delete;
  virtual ~OutageWatch() = default;

  /// Opens a link to the holder that the view names.
  virtual void Connect(Vm& vm) = 0;
  virtual void BeginTerm(Vm& vm, RowVersion version, bool is_answered) = 0;

  void Feed(Vm& vm) {
    Call(vm, std::nullopt, false, outage::kFeedWait, outage::kFeedTimeout,
         [this, &vm](const Answer& answer) {
           const bool is_done = answer.m_result == Answer::Result::kDone;
           After(vm, is_done ? Duration(0) : outage::kFeedRetry,
                 [this, &vm] { Feed(vm); });
         });
  }

  // The watch of the owner's row.

  void Follow(Vm& vm) {
    const std::uint64_t loop = ++vm.m_follow;
    ReadRow(vm, [this, &vm, loop] {
      if (loop != vm.m_follow || vm.m_term) {
        return;
      }
      BeginUnansweredTerm(vm);
      if (!vm.m_term && ShouldClaim(vm.m_view, vm.m_self, Now())) {
        Claim(vm);
      } else {
        FollowLater(vm);
      }
    });
  }

  void FollowLater(Vm& vm) {
    if (vm.m_term) {
      return;
    }
    const std::uint64_t loop = ++vm.m_follow;
    vm.m_waits_to_read = true;
    After(vm, TimeToNextOwnerRead(vm.m_view, vm.m_self, Now()),
          [this, &vm, loop] { Wake(vm, loop); });
  }

  void Wake(Vm& vm, std::uint64_t loop) {
    if (loop == vm.m_follow && vm.m_waits_to_read) {
      vm.m_waits_to_read = false;
      Follow(vm);
    }
  }

  void ReadRow(Vm& vm, std::function<void()> then) {
    const TimePoint sent = Now();
    Call(vm, std::nullopt, false, Duration(0), outage::kReadTimeout,
         [this, &vm, sent, then](const Answer& answer) {
           if (answer.m_result == Answer::Result::kDone && !vm.m_term &&
               UpdateOwnerView(vm.m_view, vm.m_self, answer.m_record,
                               answer.m_version, sent, Now())) {
             Connect(vm);
           }
           then();
         });
  }

  void Claim(Vm& vm) {
    vm.m_last_claim = MakeClaim(vm.m_own, vm.m_view, vm.m_self, vm.m_contact,
                                vm.m_last_claim, Now());
    vm.m_contact_at_claim = vm.m_contact;
    const Write write{vm.m_view.m_version, vm.m_last_claim.m_record};
    Call(vm, write, true, Duration(0), outage::kClaimTimeout,
         [this, &vm](const Answer& answer) {
           if (answer.m_result == Answer::Result::kDone) {
             BeginTerm(vm, answer.m_version, true);
             return;
           }
           ReadRow(vm, [this, &vm] {
             BeginUnansweredTerm(vm);
             FollowLater(vm);
           });
         });
  }

  void BeginUnansweredTerm(Vm& vm) {
    if (IsOwnUnansweredClaim(vm.m_view, vm.m_self, vm.m_last_term)) {
      BeginTerm(vm, vm.m_view.m_version, false);
    }
  }
};

}  // namespace filbertspar::testing
