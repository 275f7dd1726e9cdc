#include "standins/site_plan.hpp"

#include "catkinkeel/contract/write_documents.hpp"

#include <fstream>
#include <string>

namespace catkinkeel
{

namespace
{

constexpr std::uint32_t target_count = 18;
constexpr std::uint32_t orderdesk_targets = 14;
constexpr std::uint16_t encapsulation_port = 6080;
constexpr std::uint16_t first_report_port = 9200;

endpoint target_address(std::uint32_t id)
{
    return {{0x7f000300U + id}, encapsulation_port};
}

} // namespace

published_objects site_objects()
{
    published_objects objects{.version = {1}, .published_by = "demonstration"};
    objects.data_centres = {{.id = {1}, .name = "zilina-a", .region = {1}},
                            {.id = {2}, .name = "zilina-b", .region = {1}},
                            {.id = {3}, .name = "trnava-c", .region = {1}}};
    objects.services = {{.id = orderdesk, .name = "orderdesk"},
                        {.id = platefiles, .name = "platefiles"}};
    for (std::uint32_t id = 1; id <= target_count; ++id)
    {
        objects.targets.push_back(
            {.id = {id},
             .service = id <= orderdesk_targets ? orderdesk : platefiles,
             .data_centre = {static_cast<std::uint16_t>(id % 3 + 1)},
             .address = target_address(id),
             .report = {{0x7f000001},
                        static_cast<std::uint16_t>(first_report_port + id)}});
    }
    objects.references = {
        {.id = {1},
         .public_endpoint = orderdesk_endpoint,
         .service = orderdesk},
        {.id = {2},
         .public_endpoint = platefiles_endpoint,
         .service = platefiles},
        {.id = {3}, .public_endpoint = moved_endpoint, .service = orderdesk}};
    return objects;
}

std::vector<site_vm> site_vms()
{
    std::vector<site_vm> vms;
    for (std::uint32_t id = 1; id <= 6; ++id)
    {
        const ipv4_address address{0x7f000100U + id};
        vms.push_back({{id},
                       {static_cast<std::uint16_t>((id + 1) / 2)},
                       {address, 6080},
                       {address, 6081},
                       {address, 9080}});
    }
    return vms;
}

void write_set(const std::filesystem::path& directory,
               const published_objects& objects)
{
    // Renamed into place, so that the stand-in never reads a partial file.
    std::ofstream(directory / "set.new") << write_whole_set(objects);
    std::filesystem::rename(directory / "set.new", directory / "set.toml");
}

void write_site(const std::filesystem::path& directory)
{
    write_set(directory, site_objects());
    std::ofstream(directory / "keys") << "1 " << std::string(64, '7') << '\n';
    std::ofstream list(directory / "vms.toml");
    for (const site_vm& vm : site_vms())
    {
        list << "[[vm]]\nid = " << vm.id.value
             << "\ndata_centre = " << vm.data_centre.value << "\ncontrol = \""
             << to_string(vm.control) << "\"\npackets = \""
             << to_string(vm.packets) << "\"\n";
        std::ofstream settings(directory /
                               ("vm" + std::to_string(vm.id.value) + ".toml"));
        settings << "[vm]\nid = " << vm.id.value << "\nname = \"vm-"
                 << vm.id.value << "\"\ndata_centre = " << vm.data_centre.value
                 << "\n[endpoints]\npackets = \"" << to_string(vm.packets)
                 << "\"\ncontrol = \"" << to_string(vm.control)
                 << "\"\noperators = \"" << to_string(vm.operators)
                 << "\"\negress = \"" << to_string(egress_endpoint)
                 << "\"\n[platform]\nconfiguration = \""
                 << to_string(platform_endpoint) << "\"\nvm_list = \""
                 << to_string(platform_endpoint)
                 // The stand-in's VM list is never outdated; 1 s is the
                 // smallest value that the setting permits.
                 << "\"\nvm_list_lag = 1\n[keys]\nfile = \""
                 << (directory / "keys").string() << "\"\n";
    }
}

} // namespace catkinkeel
