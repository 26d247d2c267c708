#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace mimosatally
{

/// \brief Identifier of one kind of entity; ids of different kinds do not convert into each other.
template<class Tag>
class StrongId
{
public:
    StrongId() = default;

    explicit StrongId(std::string value)
        : value_(std::move(value))
    {
    }

    [[nodiscard]] const std::string &value() const
    {
        return value_;
    }

    [[nodiscard]] bool empty() const
    {
        return value_.empty();
    }

    auto operator<=>(const StrongId &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, const StrongId &id)
    {
        return stream << id.value_;
    }

private:
    std::string value_;
};

using CustomerId = StrongId<struct CustomerTag>;
using DataCentreId = StrongId<struct DataCentreTag>;
using EndpointId = StrongId<struct EndpointTag>;
using IncarnationId = StrongId<struct IncarnationTag>;
using InstanceId = StrongId<struct InstanceTag>;
using ModelId = StrongId<struct ModelTag>;
using OperatorId = StrongId<struct OperatorTag>;
/// \brief Organisation on whose behalf callers send calls; they authenticate with one of its keys.
using OrganisationId = StrongId<struct OrganisationTag>;
using ProcessId = StrongId<struct ProcessTag>;
using RecordId = StrongId<struct RecordTag>;
using RegionId = StrongId<struct RegionTag>;
using RequestId = StrongId<struct RequestTag>;
using ServiceId = StrongId<struct ServiceTag>;
/// \brief Version of an endpoint's software, not of the weights of its models; empty if it is not known.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;

/// \brief Returns whether what endpoints of both versions write fits together; false if one of them is not known.
[[nodiscard]] inline bool isSameVersion(const SoftwareVersion &left, const SoftwareVersion &right)
{
    return !left.empty() && left == right;
}

} // namespace mimosatally

template<class Tag>
struct std::hash<mimosatally::StrongId<Tag>> {
    std::size_t operator()(const mimosatally::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
