#pragma once

// Accumulates what the metadata store says into the view that packets are
// steered by. It decides how long a target that vanished stays known, which
// disappearances are not believed yet, and that versions never go back.
//
// Example:
//   catalog known({.flow_lifetime = 60s});
//   known.note_contact_lost(now);                  // the store went silent
//   auto events = known.apply(update, now);        // it answered again
//   auto view = std::make_shared<const steering_view>(known.make_view());

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
    /// Longest life of a flow. A withdrawn target and a service that a
    /// reference named before stay known for so long.
    duration flow_lifetime = 60s;
    /// How long disappearances around an outage of the store are not believed.
    /// Targets that live announce themselves again within about 2 s of its
    /// return.
    duration lapse_grace = 2200ms;

    friend auto operator<=>(const catalog_settings&,
                            const catalog_settings&) = default;
};

/// Targets kept at most; more announcements are rejected. The size to design
/// for is 24,000 targets.
inline constexpr std::size_t max_known_targets = 65'536;

/// Terms of a new version are in effect.
struct terms_in_effect
{
    set_version version;
    std::size_t references = 0;

    friend auto operator<=>(const terms_in_effect&,
                            const terms_in_effect&) = default;
};

/// Terms that are not newer than those in effect were ignored.
struct terms_ignored
{
    set_version version;
    set_version in_effect;

    friend auto operator<=>(const terms_ignored&,
                            const terms_ignored&) = default;
};

/// A target has another standing than before.
struct target_changed
{
    std::string name;
    std::string service;
    target_standing standing = target_standing::open;

    friend auto operator<=>(const target_changed&,
                            const target_changed&) = default;
};

/// Targets vanished around an outage and are still used for a while.
struct lapse_doubted
{
    std::size_t targets = 0;

    friend auto operator<=>(const lapse_doubted&,
                            const lapse_doubted&) = default;
};

using catalog_event =
    std::variant<terms_in_effect, terms_ignored, target_changed, lapse_doubted,
                 data_centre_switched, entry_rejected>;

/// Not safe for use by two threads at once.
class catalog
{
public:
    explicit catalog(catalog_settings settings) : settings_(settings) {}

    /// The store was asked in vain. Until it has been back for `lapse_grace`,
    /// targets that vanish are not taken for gone.
    void note_contact_lost(instant now);

    /// Applies an answer of the store. An update that is older than one applied
    /// before changes nothing. Returns what changed.
    std::vector<catalog_event> apply(const metadata_update& update,
                                     instant now);

    /// Withdraws targets whose grace has ended and forgets what no open flow
    /// can need any more. Returns what changed.
    std::vector<catalog_event> expire(instant now);

    /// When `expire` has to be called next; empty if nothing is waiting.
    [[nodiscard]] std::optional<instant> next_expiry() const;

    /// Whether terms are known, so that packets can be steered.
    [[nodiscard]] bool usable() const
    {
        return terms_.has_value();
    }

    /// Revision up to which the store has been read.
    [[nodiscard]] std::uint64_t revision() const
    {
        return revision_;
    }

    [[nodiscard]] steering_view make_view() const;

private:
    /// Why an announcement that is gone still counts, if it does.
    enum class presence : std::uint8_t
    {
        announced,
        /// Gone, but not believed until `until`.
        doubted,
        /// Gone; kept for its open flows until `until`.
        withdrawn
    };

    struct known_target
    {
        target_announcement announced;
        target_id id;
        presence state = presence::announced;
        instant until;
        instant cold_until;
    };

    /// A service that a reference names or named.
    struct permission
    {
        /// Empty while the terms in effect name the service.
        std::optional<instant> until;
    };

    using events = std::vector<catalog_event>;

    void take(const target_announced& change, instant now, events& out);
    void take(const target_withdrawn& change, instant now, events& out);
    void take(const terms_published& change, instant now, events& out);
    void take(const data_centre_switched& change, instant now, events& out);
    void take(const entry_rejected& change, instant now, events& out);

    void withdraw_unnamed(const metadata_update& update, instant now,
                          events& out);
    /// Whether so many targets vanish with this update that the store, not
    /// the targets, has failed.
    [[nodiscard]] bool is_mass_lapse(const metadata_update& update) const;
    [[nodiscard]] target_standing standing_of(const known_target& target) const;
    void report_standing(const known_target& target, target_standing before,
                         events& out) const;
    void vanish(known_target& target, instant now, events& out);
    void add_targets(view_parts& parts) const;
    void add_references(view_parts& parts) const;

    catalog_settings settings_;
    std::optional<published_terms> terms_;
    /// Set with the first terms: until then flows may be open that began before
    /// this process, at services that references named before.
    std::optional<instant> former_unknown_until_;
    std::map<endpoint, std::map<std::string, permission>> permissions_;
    std::map<std::string, known_target> targets_;
    std::set<std::string> closed_;
    /// Numbers of names; they stay the same while the process lives.
    std::map<std::string, std::uint32_t> service_numbers_;
    std::map<std::string, std::uint32_t> data_centre_numbers_;
    std::uint32_t last_target_ = 0;
    std::uint64_t revision_ = 0;
    instant confirmed_;
    bool contact_lost_ = false;
    /// Disappearances before this moment are doubted.
    std::optional<instant> doubt_until_;
    std::size_t doubted_now_ = 0;
};

} // namespace catkinkeel::steering
