#pragma once

// What one edge daemon has to know before it starts. Adapters fill it from the
// settings file of their platform.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/edge/freshness.hpp"
#include "catkinkeel/edge/peer_table.hpp"
#include "catkinkeel/event/catalogue.hpp"
#include "catkinkeel/event/record.hpp"
#include "catkinkeel/steering/catalog.hpp"
#include "catkinkeel/steering/selection.hpp"
#include "catkinkeel/steering/steerer.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinkeel::edge
{

/// When the metadata store is read.
struct reading_settings
{
    freshness_settings freshness;
    /// From the start of one read to the next at least. Changes often come in
    /// groups, and each read has a price.
    duration pause = 450ms;
    /// Pause after a failed read, doubled up to `retry_at_most`.
    duration retry_first = 100ms;
    duration retry_at_most = 1s;

    friend auto operator<=>(const reading_settings&,
                            const reading_settings&) = default;
};

/// How daemons find and hear each other.
struct peer_settings
{
    /// UDP, this daemon's address for notices.
    endpoint notices;
    /// Addresses for notices of some daemons; they may be stale.
    std::vector<endpoint> seeds;
    /// From one notice without an occasion to the next.
    duration notice_period = 1s;
    /// From one question to the seeds to the next, without any peer and with
    /// some.
    duration hello_alone = 1s;
    duration hello_period = 15s;
    peer_table_settings table;

    friend auto operator<=>(const peer_settings&,
                            const peer_settings&) = default;
};

/// How a daemon leaves on request.
struct departure_settings
{
    /// The routers stop sending at latest so long after the daemon stopped
    /// being ready: two checks of 500 ms, and one in progress.
    duration at_least = 1500ms;
    /// Without a packet for so long, nobody sends any more.
    duration quiet = 300ms;
    /// Forwarding ends even if packets still come.
    duration at_most = 4s;

    friend auto operator<=>(const departure_settings&,
                            const departure_settings&) = default;
};

struct edge_settings
{
    std::string name;
    std::string data_centre;
    /// UDP, packets from the routers.
    endpoint packets;
    /// TCP, where the routers ask whether the daemon is ready.
    endpoint readiness;
    std::string readiness_path;
    /// TCP, metrics for operators.
    endpoint metrics;
    /// TCP, snapshots for other daemons.
    endpoint control;
    /// Control addresses of some daemons; they may be stale.
    std::vector<endpoint> snapshot_sources;
    /// Bounds the answer to a question for a snapshot.
    duration snapshot_timeout = 700ms;

    reading_settings reading;
    peer_settings peers;
    departure_settings departure;
    steering::catalog_settings catalog;
    steering::steerer_settings steering;
    steering::selection_weights weights;

    severity log_level = severity::info;
    log_format log_encoding = log_format::key_value;
    /// Log lines about single flows a second; more are counted and dropped.
    std::uint32_t flow_lines_per_second = 200;

    friend auto operator<=>(const edge_settings&,
                            const edge_settings&) = default;
};

} // namespace catkinkeel::edge
