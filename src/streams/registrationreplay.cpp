#include <mimosatally/Streams>

namespace mimosatally
{

namespace
{
bool isSameState(const EndpointRecord &left, const EndpointRecord &right)
{
    return left.service == right.service && left.version == right.version && left.slots == right.slots && left.leaving == right.leaving;
}
} // namespace

RegistrationReplay::RegistrationReplay(bool complete)
    : complete_(complete)
{
}

void RegistrationReplay::restart(Endpoints endpoints)
{
    endpoints_ = std::move(endpoints);
    slots_ = slotsOf(endpoints_);
    whole_ = true;
}

void RegistrationReplay::apply(const EndpointId &id, const std::optional<EndpointRecord> &record, const std::function<void(const RegisteredSlots &)> &onState)
{
    const auto known = endpoints_.find(id);
    const bool wasKnown = known != endpoints_.end();
    const bool changed = wasKnown ? !record || !isSameState(known->second, *record) : record.has_value();
    if (!whole_) {
        if (record) {
            span_.add(*record);
        }
        // Endpoints write in turn, so with the first repeated key each of them has written once.
        whole_ = wasKnown && (complete_ || span_.intervals() >= INTERVALS_UNTIL_WHOLE);
        if (whole_) {
            onState(slots_);
        }
    }
    if (wasKnown) {
        removeSlots(slots_, known->second);
        endpoints_.erase(known);
    }
    if (record) {
        addSlots(slots_, *record);
        endpoints_.emplace(id, *record);
    }
    if (whole_ && changed) {
        onState(slots_);
    }
}

bool RegistrationReplay::isWhole() const
{
    return whole_;
}

} // namespace mimosatally
