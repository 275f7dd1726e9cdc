// Main program of the check of a configuration before operators publish it.

#include "apps/process.hpp"
#include "catkinkeel/base/release.hpp"
#include "catkinkeel/base/text_file.hpp"
#include "catkinkeel/configuration_check/configuration_check.hpp"
#include "platform/store_documents.hpp"

#include <tclap/CmdLine.h>

#include <iostream>
#include <optional>
#include <string>

namespace
{

using namespace catkinkeel;
using namespace catkinkeel::configuration_check;

/// Exit status if there are errors or warnings. A file that cannot be read and
/// wrong arguments give `invalid_usage`.
constexpr int faults_found = 1;

/// The store of the platform takes values of at most 1 MiB.
constexpr byte_count max_document_size{std::uint64_t{1024} * 1024};

outcome<steering::configuration_draft> read_draft(const std::string& file)
{
    const auto text = read_text_file(file, max_document_size);
    if (!text)
    {
        return text.error();
    }
    return platform::parse_configuration_draft(text.value());
}

int check(const std::string& file,
          const std::optional<std::string>& file_in_force)
{
    const auto& names = platform::configuration_names;
    const auto draft = read_draft(file);
    const auto in_force = file_in_force ? read_draft(*file_in_force) : draft;
    if (!draft || !in_force)
    {
        std::cerr << "catkinkeel-check: "
                  << (draft ? in_force : draft).error().message << '\n';
        return invalid_usage;
    }
    std::vector<finding> findings = check_configuration(draft.value(), names);
    if (file_in_force)
    {
        const auto differences =
            compare_configurations(in_force.value(), draft.value(), names);
        findings.insert(findings.end(), differences.begin(), differences.end());
    }
    std::cout << to_text(findings) << std::flush;
    return has_faults(findings) ? faults_found : success;
}

} // namespace

int main(int argc, char** argv)
{
    return run_main(
        [&]
        {
            TCLAP::CmdLine line(
                "Checks a configuration (op/config, JSON) before it is "
                "published. Works without a daemon and a network. Exit status "
                "0: no errors and no warnings; 1: errors or warnings; 2: a "
                "file cannot be read, or wrong arguments. Differences from "
                "the configuration in force do not affect it.",
                ' ', std::string(release()));
            const TCLAP::ValueArg<std::string> in_force(
                "i", "in-force",
                "The configuration in force, to list what would change", false,
                "", "FILE", line);
            const TCLAP::UnlabeledValueArg<std::string> file(
                "file", "The configuration to check", true, "", "FILE", line);
            version_output output("catkinkeel-check");
            line.setOutput(&output);
            line.setExceptionHandling(false);
            line.parse(argc, argv);
            return check(file.getValue(),
                         in_force.isSet() ? std::optional(in_force.getValue())
                                          : std::nullopt);
        });
}
