#pragma once

// Builds the view by which packets are steered from the responses of the
// metadata store. The catalog decides how long a withdrawn target is kept and
// which missing announcements are attributed to a failure of the store, and it
// never applies an older version of the configuration.
//
// Example:
//   catalog metadata({.flow_lifetime = 60s});
//   metadata.note_store_unreachable(now);          // a request failed
//   auto events = metadata.apply(update, now);     // the store responds again
//   auto view = std::make_shared<const steering_view>(metadata.make_view());

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/objects.hpp"
#include "catkinkeel/steering/view.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace catkinkeel::steering
{

struct catalog_settings
{
    /// Maximum lifetime of a flow. A withdrawn target, and a service that was
    /// removed from a reference, are kept for this time.
    duration flow_lifetime = 60s;
    /// Targets whose announcements are missing around an outage of the store
    /// keep receiving flows for this time. Targets that are alive are announced
    /// again within about 2 s of the store's recovery.
    duration withdrawal_grace_period = 2200ms;

    friend auto operator<=>(const catalog_settings&,
                            const catalog_settings&) = default;
};

/// Maximum number of targets; announcements beyond it are rejected. The design
/// size is 24,000 targets.
inline constexpr std::size_t max_known_targets = 65'536;

/// Maximum number of data centres; `data_centre_id` has 16 bits. The targets of
/// further ones are rejected.
inline constexpr std::size_t max_known_data_centres = 4096;

/// A rejected entry is reported once, and again if the reason changes. Beyond
/// this number of entries, rejections are only counted.
inline constexpr std::size_t max_remembered_rejections = 1024;

/// Maximum number of rejections that one update reports; the rest is counted.
inline constexpr std::size_t max_reported_rejections = 16;

/// A new version of the configuration is in effect.
struct configuration_in_effect
{
    set_version version;
    std::size_t references = 0;

    friend auto operator<=>(const configuration_in_effect&,
                            const configuration_in_effect&) = default;
};

/// A configuration that is not newer than the one in effect was ignored.
struct stale_configuration_ignored
{
    set_version version;
    set_version in_effect;

    friend auto operator<=>(const stale_configuration_ignored&,
                            const stale_configuration_ignored&) = default;
};

/// The standing of a target changed.
struct target_standing_changed
{
    std::string name;
    std::string service;
    target_standing standing = target_standing::open;

    friend auto operator<=>(const target_standing_changed&,
                            const target_standing_changed&) = default;
};

/// Announcements are missing around an outage of the store; their targets stay
/// in use for `catalog_settings::withdrawal_grace_period`.
struct withdrawals_delayed
{
    std::size_t targets = 0;

    friend auto operator<=>(const withdrawals_delayed&,
                            const withdrawals_delayed&) = default;
};

/// Rejected entries of one update that were not reported one by one.
struct rejections_omitted
{
    std::size_t entries = 0;

    friend auto operator<=>(const rejections_omitted&,
                            const rejections_omitted&) = default;
};

using catalog_event =
    std::variant<configuration_in_effect, stale_configuration_ignored,
                 target_standing_changed, withdrawals_delayed,
                 data_centre_service_changed, entry_rejected,
                 rejections_omitted>;

/// Tracks targets and configuration. Not thread-safe.
class catalog
{
public:
    explicit catalog(catalog_settings settings) : settings_(settings) {}

    /// Records that a request to the store failed. Until the store has been
    /// reachable again for `withdrawal_grace_period`, targets whose
    /// announcements are missing are not withdrawn.
    void note_store_unreachable(instant now);

    /// Applies a response of the store and returns the changes. An update that
    /// is older than one applied before changes nothing.
    std::vector<catalog_event> apply(const metadata_update& update,
                                     instant now);

    /// Withdraws targets whose grace period has ended, and removes targets and
    /// services that no open flow can use any more. Returns the changes.
    std::vector<catalog_event> expire(instant now);

    /// When `expire` has to be called next; empty if nothing is due to expire.
    [[nodiscard]] std::optional<instant> next_expiry() const;

    /// Whether a configuration has been received, so that packets can be
    /// steered.
    [[nodiscard]] bool has_configuration() const
    {
        return configuration_.has_value();
    }

    /// Revision of the store that was applied last.
    [[nodiscard]] std::uint64_t revision() const
    {
        return revision_;
    }

    [[nodiscard]] steering_view make_view() const;

private:
    /// Whether a target is announced and, if not, why it is still kept.
    enum class presence : std::uint8_t
    {
        announced,
        /// The announcement is missing, possibly because the store failed. The
        /// target stays in use until `until`.
        missing,
        /// Not announced any more; kept for its open flows until `until`.
        withdrawn
    };

    struct target_record
    {
        target_announcement announced;
        target_id id;
        presence state = presence::announced;
        /// When a missing target is withdrawn, or a withdrawn one removed.
        instant until;
        instant cold_until;
    };

    /// Whether the targets of a service may receive packets of open flows of a
    /// reference. This is not an access control.
    struct service_permission
    {
        /// When the permission ends; empty while the configuration in effect
        /// binds the reference to the service.
        std::optional<instant> until;
    };

    using events = std::vector<catalog_event>;

    void apply_change(const target_announced& change, instant now, events& out);
    void apply_change(const target_withdrawn& change, instant now, events& out);
    void apply_change(const configuration_published& change, instant now,
                      events& out);
    void apply_change(const data_centre_service_changed& change, instant now,
                      events& out);
    void apply_change(const entry_rejected& change, instant now, events& out);

    void end_announcement(const std::string& name, instant now, events& out);
    void report_rejection(const entry_rejected& rejection, events& out);
    void process_unlisted(const metadata_update& update, instant now,
                          events& out);
    /// Whether so many announcements are missing with this update that a
    /// failure of the store is more likely than one of the targets.
    [[nodiscard]] bool
    is_mass_withdrawal_update(const metadata_update& update) const;
    [[nodiscard]] target_standing
    standing_of(const target_record& target) const;
    void report_standing(const target_record& target, target_standing before,
                         events& out) const;
    void mark_missing(target_record& target, instant now, events& out);
    void add_targets(view_data& parts) const;
    void add_references(view_data& parts) const;

    catalog_settings settings_;
    std::optional<published_configuration> configuration_;
    /// Set with the first configuration. Until then flows may exist that were
    /// opened under a configuration that this process never read, and that use
    /// services which have since been removed from their references.
    std::optional<instant> former_services_unknown_until_;
    /// By reference: services whose targets may receive packets of open flows
    /// of this reference, including services that were removed from it less
    /// than `flow_lifetime` ago.
    std::map<endpoint, std::map<std::string, service_permission>> permissions_;
    std::map<std::string, target_record> targets_;
    std::set<std::string> out_of_service_data_centres_;
    /// Ids by name; constant for the lifetime of the process.
    std::map<std::string, std::uint32_t> service_ids_;
    std::map<std::string, std::uint32_t> data_centre_ids_;
    std::uint32_t last_target_id_ = 0;
    std::uint64_t revision_ = 0;
    instant confirmed_at_;
    bool store_unreachable_ = false;
    /// Targets whose announcements go missing before this moment become
    /// `missing` instead of `withdrawn`.
    std::optional<instant> withdrawal_grace_until_;
    std::size_t missing_count_ = 0;
    /// Entries that are rejected now, by target name or else by key.
    std::map<std::string, entry_rejected> rejections_;
    /// Rejections of the current update that were reported and that were not.
    std::size_t reported_rejections_ = 0;
    std::size_t omitted_rejections_ = 0;
};

} // namespace catkinkeel::steering
