#pragma once

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Amounts of each resource: the demand of a task, the capacity of a
/// worker, or the quota of a workspace.
struct ResourceVector {
  Millicores m_cpu;
  Megabytes m_memory;
  Accelerators m_accelerators;

  friend bool operator==(const ResourceVector&,
                         const ResourceVector&) = default;
};

inline ResourceVector& operator+=(ResourceVector& a, const ResourceVector& b) {
  a.m_cpu += b.m_cpu;
  a.m_memory += b.m_memory;
  a.m_accelerators += b.m_accelerators;
  return a;
}

inline ResourceVector& operator-=(ResourceVector& a, const ResourceVector& b) {
  a.m_cpu -= b.m_cpu;
  a.m_memory -= b.m_memory;
  a.m_accelerators -= b.m_accelerators;
  return a;
}

inline ResourceVector operator+(ResourceVector a, const ResourceVector& b) {
  return a += b;
}
inline ResourceVector operator-(ResourceVector a, const ResourceVector& b) {
  return a -= b;
}

/// \brief Whether `a` is at most `b` in every resource.
inline bool FitsIn(const ResourceVector& a, const ResourceVector& b) {
  return a.m_cpu <= b.m_cpu && a.m_memory <= b.m_memory &&
         a.m_accelerators <= b.m_accelerators;
}

}  // namespace filbertspar
