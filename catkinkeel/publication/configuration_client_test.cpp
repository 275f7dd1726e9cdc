// Tests configuration_client against the stand-in of the platform.

#include "catkinkeel/contract/set_store.hpp"
#include "catkinkeel/publication/configuration_client.hpp"
#include "standins/platform_standin.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace catkinkeel;

namespace
{

published_objects objects_at(std::uint16_t version)
{
    return {
        .version = {version},
        .data_centres = {{.id = {1}, .name = "zilina-a", .region = {version}}}};
}

std::shared_ptr<platform_standin> start_standin()
{
    auto started = platform_standin::start(0, 8);
    REQUIRE(started.has_value());
    return started.value();
}

const std::string& text_of(const index_answer& answer)
{
    REQUIRE(std::holds_alternative<std::string>(answer));
    return std::get<std::string>(answer);
}

/// Reads the chunks that the store requests until it requests no more, and
/// returns the set in effect.
published_set_ptr read_until_in_effect(configuration_client& client,
                                       set_store& store,
                                       const std::string& index, instant now)
{
    store_outputs outputs = store.handle_index(index, now);
    for (std::size_t i = 0; i < outputs.size(); ++i)
    {
        const auto* requested_chunk = std::get_if<read_chunk>(&outputs[i]);
        if (requested_chunk == nullptr)
        {
            continue;
        }
        const read_chunk request = *requested_chunk;
        const auto text = client.read_chunk(request.name, request.hash);
        REQUIRE(std::holds_alternative<std::string>(text));
        const auto more = store.handle_chunk(request.name, request.hash,
                                             std::get<std::string>(text), now);
        outputs.insert(outputs.end(), more.begin(), more.end());
    }
    return store.in_effect();
}

} // namespace

TEST_CASE("a set published by the platform is read and takes effect")
{
    const auto standin = start_standin();
    configuration_client client(standin->address());
    set_store store(instant{}, random_source(1));
    const instant now = instant{} + 2s;
    standin->publish(objects_at(3));
    const auto first = read_until_in_effect(
        client, store, text_of(client.watch_index({0}, 10s)), now);
    REQUIRE(first != nullptr);
    CHECK(first->objects() == objects_at(3));

    // A waiting watch returns when a version is published.
    std::thread publisher([&] { standin->publish(objects_at(4)); });
    const auto index = client.watch_index(store.watch_after(), 60s);
    publisher.join();
    const auto second =
        read_until_in_effect(client, store, text_of(index), now);
    CHECK(second->version() == set_version{4});
    CHECK(standin->reads() == standin_read_counts{2, 2, 0, 0});
}

TEST_CASE("a watch without a later version ends after its wait")
{
    const auto standin = start_standin();
    standin->publish(objects_at(3));
    configuration_client client(standin->address());
    CHECK(std::holds_alternative<index_unchanged>(client.watch_index({3}, 0s)));
}

TEST_CASE(
    "a service that publishes nothing new, answers with an older index or "
    "fails never replaces the set in effect by an older one")
{
    const auto standin = start_standin();
    configuration_client client(standin->address());
    set_store store(instant{}, random_source(1));
    const instant now = instant{} + 2s;
    standin->publish(objects_at(3));
    standin->publish(objects_at(4));
    read_until_in_effect(client, store, text_of(client.watch_index({0}, 0s)),
                         now);
    REQUIRE(store.status().in_effect == set_version{4});

    standin->set_mode(standin_mode::stale);
    standin->publish(objects_at(5));
    CHECK(std::holds_alternative<index_unchanged>(client.watch_index({4}, 0s)));

    standin->set_mode(standin_mode::older);
    standin->publish(objects_at(6));
    // In this mode the stand-in serves the version before the newest: 5 is
    // accepted after 4, and rejected as older once 6 is in effect.
    read_until_in_effect(client, store, text_of(client.watch_index({4}, 0s)),
                         now);
    CHECK(store.status().in_effect == set_version{5});
    standin->set_mode(standin_mode::normal);
    read_until_in_effect(client, store, text_of(client.watch_index({5}, 0s)),
                         now);
    REQUIRE(store.status().in_effect == set_version{6});
    standin->set_mode(standin_mode::older);
    const auto outputs =
        store.handle_index(text_of(client.watch_index({6}, 60s)), now);
    REQUIRE(outputs.size() == 1);
    CHECK(std::get<set_ignored>(outputs[0]).reason == ignore_reason::older);
    CHECK(store.status().in_effect == set_version{6});

    standin->set_mode(standin_mode::error);
    const auto failed = client.watch_index({6}, 60s);
    REQUIRE(std::holds_alternative<http_failure>(failed));
    CHECK(std::get<http_failure>(failed).status == 503);
}

TEST_CASE("the VM list is read as text and a missing chunk as a failure")
{
    const auto standin = start_standin();
    standin->set_vms("version = 1\n");
    configuration_client client(standin->address());
    CHECK(client.read_vms() == text_answer("version = 1\n"));
    const auto missing = client.read_chunk("target-0", "0123456789abcdef");
    CHECK(std::get<http_failure>(missing).status == 404);
    const auto illegal = client.read_chunk("../control/set", "x y");
    CHECK(std::get<http_failure>(illegal).kind ==
          http_failure_kind::wrong_content);
    CHECK(standin->reads().chunks == 1);
}
