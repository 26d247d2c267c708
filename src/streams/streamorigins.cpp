#include "streamorigins.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Callers come back some seconds after a break, also to a stream with a short timeout.
constexpr Duration MIN_LIFETIME = Duration(15'000);
constexpr Duration MAX_LIFETIME = Duration(60'000);
} // namespace

Duration originLifetime(Duration longestStream)
{
    return std::clamp(longestStream, MIN_LIFETIME, MAX_LIFETIME);
}

void StreamOrigins::setLifetime(Duration lifetime)
{
    lifetime_ = lifetime;
}

StreamOrigins::Result StreamOrigins::record(const RequestId &root, const StreamOrigin &origin, Time now)
{
    if (root.empty() || root.value().size() > MAX_ROOT_BYTES) {
        return Result::Rejected;
    }
    forgetOldest(now);
    auto &byRoot = streams_.get<1>();
    const auto known = byRoot.find(root);
    if (known == byRoot.end()) {
        streams_.push_back(Stream {root, origin, !origin.version.empty(), now});
        forgetOldest(now);
        return Result::Recorded;
    }
    const bool conflicting = known->origin != origin;
    byRoot.modify(known, [&](Stream &stream) {
        stream.joinable = stream.joinable && !conflicting;
        stream.recordedAt = now;
    });
    streams_.relocate(streams_.end(), streams_.project<0>(known));
    return conflicting ? Result::Conflicting : Result::Recorded;
}

const StreamOrigins::Stream *StreamOrigins::find(const RequestId &root, Time now) const
{
    const auto &byRoot = streams_.get<1>();
    const auto known = byRoot.find(root);
    const bool expired = known != byRoot.end() && now - known->recordedAt > lifetime_;
    return known == byRoot.end() || expired ? nullptr : &*known;
}

std::size_t StreamOrigins::size() const
{
    return streams_.size();
}

void StreamOrigins::forgetOldest(Time now)
{
    while (!streams_.empty() && (streams_.size() > MAX_STREAMS || now - streams_.front().recordedAt > lifetime_)) {
        streams_.pop_front();
    }
}

} // namespace mimosatally::internal
