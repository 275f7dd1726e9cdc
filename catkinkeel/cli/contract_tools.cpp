#include "catkinkeel/cli/contract_tools.hpp"

namespace catkinkeel
{

namespace
{

const failure not_built{failure_kind::unavailable,
                        "this build can't read published objects"};

} // namespace

outcome<std::vector<set_finding>>
no_contract_tools::check(const std::vector<object_document>&) const
{
    return not_built;
}

outcome<std::vector<set_change>>
no_contract_tools::diff(const std::vector<object_document>&,
                        const std::vector<object_document>&) const
{
    return not_built;
}

} // namespace catkinkeel
