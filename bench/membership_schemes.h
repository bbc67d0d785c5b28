#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "filbertspar/base/base.h"

/// \file
/// \brief The detection schemes that membership_detection_bench compares.

namespace filbertspar::bench {

enum class Fault : std::uint8_t {
  kNone,
  kCrash,
  kPair,
  kZone,
  kPause,
  kSilent,
};

struct Scenario {
  int m_nodes = 7;
  int m_zones = 3;
  double m_loss = 0;
  std::uint64_t m_seed = 1;
  Fault m_fault = Fault::kNone;
  /// Time observed after the fault, or in all when there is none.
  Duration m_time = Seconds(15);
  /// Faults of kPause and kSilent in the observed time.
  int m_faults = 20;
};

struct Result {
  /// From each crash to the first node that knew, and to the last one.
  std::vector<double> m_first_s;
  std::vector<double> m_all_s;
  int m_crashes = 0;
  /// Crashed nodes of which some live node never learned.
  int m_missed = 0;
  /// Live nodes declared dead, each counted once per declaring node.
  int m_false = 0;
  std::uint64_t m_suspicions = 0;
  std::uint64_t m_replaced = 0;
  double m_mean_bytes = 0;
  double m_max_bytes = 0;
  double m_frames = 0;
};

}  // namespace filbertspar::bench
