#include "filbertspar/fleet/src/lifecycle.h"

// The transition table below has more rows than the default limit of MPL.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 40
#define BOOST_MPL_LIMIT_VECTOR_SIZE 40
#define FUSION_MAX_VECTOR_SIZE 40

#include <array>

#include "boost/msm/back/state_machine.hpp"
#include "boost/msm/front/functor_row.hpp"
#include "boost/msm/front/state_machine_def.hpp"

namespace filbertspar {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

template <VmEvent kEvent>
struct On {
  Purpose m_purpose;
};

/// \brief Enters the state that the row holds.
struct Load {
  VmState m_state;
};

struct MachineDef : msm::front::state_machine_def<MachineDef> {
  template <VmState kState>
  struct In : msm::front::state<> {
    template <typename Event, typename Machine>
    void on_entry(const Event& /*event*/, Machine& machine) {
      machine.m_state = kState;
    }
  };
  struct Unloaded : msm::front::state<> {};
  using initial_state = Unloaded;

  template <VmState kState>
  struct Holds {
    template <typename Event, typename Machine, typename From, typename To>
    bool operator()(const Event& event, Machine& /*machine*/, From& /*from*/,
                    To& /*to*/) const {
      return event.m_state == kState;
    }
  };
  template <Purpose kPurpose>
  struct For {
    template <typename Event, typename Machine, typename From, typename To>
    bool operator()(const Event& event, Machine& /*machine*/, From& /*from*/,
                    To& /*to*/) const {
      return event.m_purpose == kPurpose;
    }
  };

  template <VmState kState>
  using Loads = Row<Unloaded, Load, In<kState>, none, Holds<kState>>;
  template <VmState kFrom, VmEvent kEvent, VmState kTo>
  using Goes = Row<In<kFrom>, On<kEvent>, In<kTo>, none, none>;
  template <VmState kFrom, VmEvent kEvent, VmState kTo, Purpose kPurpose>
  using GoesFor = Row<In<kFrom>, On<kEvent>, In<kTo>, none, For<kPurpose>>;

  using S = VmState;
  using E = VmEvent;
  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): the name is given by MSM.
  struct transition_table : boost::mpl::vector<
      Loads<S::kInService>, Loads<S::kCordoned>, Loads<S::kDraining>,
      Loads<S::kDrained>, Loads<S::kRebooting>, Loads<S::kVerifying>,
      Loads<S::kFailed>,
      Goes<S::kInService, E::kAdmit, S::kCordoned>,
      Goes<S::kCordoned, E::kCordonConfirmed, S::kDraining>,
      Goes<S::kDraining, E::kWorkEnded, S::kDrained>,
      Goes<S::kDrained, E::kWorkSeen, S::kDraining>,
      GoesFor<S::kDrained, E::kReboot, S::kRebooting, Purpose::kMaintain>,
      GoesFor<S::kDrained, E::kMoved, S::kInService, Purpose::kMove>,
      Goes<S::kRebooting, E::kBooted, S::kVerifying>,
      Goes<S::kVerifying, E::kVerified, S::kInService>,
      Goes<S::kCordoned, E::kRollBack, S::kInService>,
      Goes<S::kDraining, E::kRollBack, S::kInService>,
      Goes<S::kDrained, E::kRollBack, S::kInService>,
      Goes<S::kInService, E::kFail, S::kFailed>,
      Goes<S::kCordoned, E::kFail, S::kFailed>,
      Goes<S::kDraining, E::kFail, S::kFailed>,
      Goes<S::kDrained, E::kFail, S::kFailed>,
      Goes<S::kRebooting, E::kFail, S::kFailed>,
      Goes<S::kVerifying, E::kFail, S::kFailed>,
      Goes<S::kFailed, E::kRecover, S::kVerifying>
      > {};
  // clang-format on

  template <typename Event, typename Machine>
  void no_transition(const Event& /*event*/, Machine& machine, int /*state*/) {
    machine.m_allowed = false;
  }

  VmState m_state = VmState::kInService;
  bool m_allowed = true;
};

using Machine = msm::back::state_machine<MachineDef>;

template <VmEvent kEvent>
bool Process(Machine& machine, Purpose purpose) {
  return machine.process_event(On<kEvent>{purpose}) == msm::back::HANDLED_TRUE;
}

using Handler = bool (*)(Machine&, Purpose);
constexpr std::array<Handler, kVmEvents> kHandlers = {
    Process<VmEvent::kAdmit>,     Process<VmEvent::kCordonConfirmed>,
    Process<VmEvent::kWorkEnded>, Process<VmEvent::kWorkSeen>,
    Process<VmEvent::kReboot>,    Process<VmEvent::kMoved>,
    Process<VmEvent::kBooted>,    Process<VmEvent::kVerified>,
    Process<VmEvent::kRollBack>,  Process<VmEvent::kFail>,
    Process<VmEvent::kRecover>};

constexpr std::array<std::string_view, kVmEvents> kEventNames = {
    "admit",  "cordon confirmed", "work ended", "work seen", "reboot", "moved",
    "booted", "verified",         "roll back",  "fail",      "recover"};

}  // namespace

std::string_view ToString(VmEvent event) {
  return kEventNames[static_cast<std::size_t>(event)];
}

std::optional<VmState> NextState(VmState state, VmEvent event,
                                 Purpose purpose) {
  Machine machine;
  machine.start();
  machine.process_event(Load{state});
  if (!kHandlers[static_cast<std::size_t>(event)](machine, purpose) ||
      !machine.m_allowed) {
    return std::nullopt;
  }
  return machine.m_state;
}

}  // namespace filbertspar
