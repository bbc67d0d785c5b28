#pragma once

#include <array>

#include "filbertspar/metrics/metrics.h"

namespace filbertspar::metric {

inline constexpr MetricFamily kCalls{
    "filbertspar_calls_total", "Calls of callers by verb and result code.",
    "verb_code"};
inline constexpr MetricFamily kCallSeconds{
    "filbertspar_call_seconds", "Time to answer a call, by verb.", "verb"};
inline constexpr MetricFamily kJobs{
    "filbertspar_jobs_total", "Jobs by how they were taken in, begun or ended.",
    "event"};
inline constexpr MetricFamily kJobSeconds{
    "filbertspar_job_seconds", "Time from acceptance to the end, by state.",
    "state"};
inline constexpr MetricFamily kOrders{"filbertspar_orders_total",
                                      "Orders to workers by kind and result.",
                                      "kind_result"};
inline constexpr MetricFamily kOrderSeconds{
    "filbertspar_order_seconds", "Time to the answer of an order, by kind.",
    "kind"};
inline constexpr MetricFamily kEnds{"filbertspar_task_ends_total",
                                    "Runs of tasks by how they ended.", "how"};
inline constexpr MetricFamily kWorkerCrashes{
    "filbertspar_worker_crashes_total",
    "Workers with tasks whose process ended, by what was found to be the "
    "cause.",
    "cause"};
inline constexpr MetricFamily kStoreCalls{
    "filbertspar_store_calls_total", "Calls to the store by kind and result.",
    "kind_result"};
inline constexpr MetricFamily kStoreSeconds{
    "filbertspar_store_seconds", "Time to the answer of a store call, by kind.",
    "kind"};
inline constexpr MetricFamily kSentBytes{
    "filbertspar_sent_bytes_total",
    "Bytes sent to workers, store and other VMs, by what they are for.",
    "kind"};
inline constexpr MetricFamily kReceivedBytes{
    "filbertspar_received_bytes_total",
    "Bytes received from workers, store and other VMs, by what they are for.",
    "kind"};
inline constexpr MetricFamily kVmOrders{"filbertspar_vm_orders_total",
                                        "Orders to VMs by kind and result.",
                                        "kind_result"};
inline constexpr MetricFamily kOwner{"filbertspar_owner",
                                     "1 while this VM owns the jobs.", ""};
inline constexpr MetricFamily kConfigVersion{
    "filbertspar_config_version", "Version of the configuration in force.", ""};
inline constexpr MetricFamily kConfigAge{
    "filbertspar_config_age_seconds",
    "Time since the configuration was last confirmed.", ""};
inline constexpr MetricFamily kActiveJobs{
    "filbertspar_active_jobs", "Jobs that are not final, at the owner.", ""};
inline constexpr MetricFamily kQueuedJobs{
    "filbertspar_queued_jobs",
    "Jobs of which no worker has confirmed a run, at the owner, by queue.",
    "queue"};
inline constexpr MetricFamily kOldestQueuedAge{
    "filbertspar_oldest_queued_job_seconds",
    "Time since the oldest of these jobs was accepted, by queue.", "queue"};
inline constexpr MetricFamily kWorkers{
    "filbertspar_workers", "Workers that answer, at the owner, by pool.",
    "pool"};
inline constexpr MetricFamily kClientFaults{
    "filbertspar_client_faults_total",
    "Connections closed and requests refused because of the client, by reason.",
    "reason"};
inline constexpr MetricFamily kLogDropped{"filbertspar_log_dropped_total",
                                          "Log lines that were not kept.", ""};

inline constexpr std::array kAll = {kCalls,
                                    kCallSeconds,
                                    kJobs,
                                    kJobSeconds,
                                    kOrders,
                                    kOrderSeconds,
                                    kEnds,
                                    kWorkerCrashes,
                                    kStoreCalls,
                                    kStoreSeconds,
                                    kSentBytes,
                                    kReceivedBytes,
                                    kVmOrders,
                                    kOwner,
                                    kConfigVersion,
                                    kConfigAge,
                                    kActiveJobs,
                                    kQueuedJobs,
                                    kOldestQueuedAge,
                                    kWorkers,
                                    kClientFaults,
                                    kLogDropped};

}  // namespace filbertspar::metric
