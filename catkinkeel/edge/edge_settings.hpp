#pragma once

// Settings of one edge daemon. Adapters fill them from the settings file of
// their platform.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/edge/freshness.hpp"
#include "catkinkeel/edge/peer_table.hpp"
#include "catkinkeel/event/catalogue.hpp"
#include "catkinkeel/event/record.hpp"
#include "catkinkeel/http/http_client.hpp"
#include "catkinkeel/steering/catalog.hpp"
#include "catkinkeel/steering/selection.hpp"
#include "catkinkeel/steering/steerer.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinkeel::edge
{

/// Timing of reads of the metadata store.
struct reading_settings
{
    freshness_settings freshness;
    /// Shortest time from the start of one read to the start of the next. It
    /// saves reads, which have a cost, since changes often come in groups.
    duration min_read_period = 450ms;
    /// Delay after a failed read, doubled up to `max_retry_delay`.
    duration first_retry_delay = 100ms;
    duration max_retry_delay = 1s;

    friend auto operator<=>(const reading_settings&,
                            const reading_settings&) = default;
};

/// How daemons discover each other and exchange notices.
struct peer_settings
{
    /// UDP address at which this daemon receives notices.
    endpoint notice_endpoint;
    /// Notice addresses of some daemons, contacted to discover the others; they
    /// may be stale.
    std::vector<endpoint> seeds;
    /// Period of notices that are sent without a new confirmation.
    duration notice_period = 1s;
    /// Periods of peer requests to the seeds, while the peer table is empty and
    /// while it is not.
    duration hello_period_alone = 1s;
    duration hello_period = 15s;
    /// Time from the start after which the number of known daemons counts.
    /// Daemons that start together, after an outage, know few of each other at
    /// first.
    duration discovery_time = 10s;
    peer_table_settings table;

    friend auto operator<=>(const peer_settings&,
                            const peer_settings&) = default;
};

/// How a daemon stops gracefully.
struct departure_settings
{
    /// Shortest time of forwarding after the daemon stopped being ready. The
    /// routers need this long to stop sending: two checks of 500 ms, and one in
    /// progress.
    duration min_forwarding_time = 1500ms;
    /// Time without a packet after which no router sends any more.
    duration quiet_period = 300ms;
    /// Longest time of forwarding, even if packets still arrive.
    duration max_forwarding_time = 4s;

    friend auto operator<=>(const departure_settings&,
                            const departure_settings&) = default;
};

struct edge_settings
{
    std::string name;
    std::string data_centre;
    /// UDP address at which packets from the routers arrive.
    endpoint packets;
    /// TCP address of the routers' readiness check.
    endpoint readiness;
    std::string readiness_path;
    /// TCP address of the metrics for operators.
    endpoint metrics;
    /// TCP address at which other daemons request snapshots.
    endpoint control;
    /// Control addresses of daemons from which to request a snapshot; they may
    /// be stale.
    std::vector<endpoint> snapshot_sources;
    /// From a snapshot request to the end of the header of its response.
    duration snapshot_timeout = 700ms;
    /// The store is not read during a transfer, so a store that became
    /// reachable is not followed for up to this time. Snapshots up to 1.9 MB
    /// have 3 s. Larger ones have the time that they need at 5 Mbit/s, which is
    /// half of a link of 10 Mbit/s, since a peer sends two snapshots at once:
    /// 9.3 s for 5.8 MB (24,000 targets behind 6,100 addresses). The maximum is
    /// below the 11 s in which a change has to be in force at that size.
    body_timeouts snapshot_transfer{
        .idle = 700ms, .total = 3s, .min_rate = 625'000, .max_total = 10s};

    reading_settings reading;
    peer_settings peers;
    departure_settings departure;
    steering::catalog_settings catalog;
    steering::steerer_settings steering;
    steering::selection_weights weights;
    /// Exchange reports about targets with other daemons.
    bool shares_evidence = false;

    severity log_level = severity::info;
    log_format log_encoding = log_format::key_value;
    /// Maximum number of log lines about single flows per second; further lines
    /// are dropped and counted.
    std::uint32_t max_flow_lines_per_second = 200;

    friend auto operator<=>(const edge_settings&,
                            const edge_settings&) = default;
};

} // namespace catkinkeel::edge
