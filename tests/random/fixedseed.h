#pragma once

#include <cstdint>
#include <iostream>
#include <rapidcheck.h>
#include <string>

namespace mimosatally::testing
{

/// \brief Checks a property with a fixed seed; a failure is printed with its shrunk example.
template<class Property>
bool holds(const std::string &name, std::uint64_t seed, int runs, Property property)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = runs;
    const rc::detail::TestResult result = rc::detail::checkTestable(std::move(property), metadata, params);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace mimosatally::testing
