#pragma once

#include <mimosatally/Core>

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <vector>

namespace mimosatally::internal
{

/// \brief Where the first event of a stream comes from.
struct StreamOrigin {
    ServiceId service;
    /// \brief Version of the endpoint that wrote it; empty if it is not known or not certain.
    SoftwareVersion version;

    bool operator==(const StreamOrigin &) const = default;
};

/// \brief What one gateway tells the others about streams of one origin. Without streams it tells that the version is registered.
struct StreamNotice {
    StreamOrigin origin;
    /// \brief Requests that brought the streams' first events.
    std::vector<RequestId> roots;
};

/// \brief Returns the time for which the origin of a stream is needed after its first event. \param longestStream longest timeout of a route with events.
[[nodiscard]] Duration originLifetime(Duration longestStream);

/// \brief Origins of streams, by the request that brought the first event.
///
/// Performs no I/O. Of a stream of which two different origins were recorded, or one without a version, it is known only that nothing may be joined to it.
class StreamOrigins
{
public:
    /// \brief Bounds the memory; the origin that was recorded first is forgotten first.
    static constexpr std::size_t MAX_STREAMS = 65'536;
    /// \brief Longest id of a request that is recorded; callers choose their ids.
    static constexpr std::size_t MAX_ROOT_BYTES = 128;

    struct Stream {
        RequestId root;
        StreamOrigin origin;
        /// \brief False if two origins were recorded, or one without a version.
        bool joinable = true;
        Time recordedAt;
    };

    enum class Result {
        Recorded,
        /// \brief Another origin is recorded; nothing may be joined to the stream from now on.
        Conflicting,
        /// \brief The id is empty or too long.
        Rejected,
    };

    /// \brief Sets for how long an origin is kept after it was last recorded.
    void setLifetime(Duration lifetime);

    Result record(const RequestId &root, const StreamOrigin &origin, Time now);

    /// \brief Returns what is known of a stream; null if nothing is. The pointer is valid until the next change.
    [[nodiscard]] const Stream *find(const RequestId &root, Time now) const;

    [[nodiscard]] std::size_t size() const;

private:
    using Streams = boost::multi_index_container<
        Stream,
        boost::multi_index::indexed_by<boost::multi_index::sequenced<>,
                                       boost::multi_index::hashed_unique<boost::multi_index::member<Stream, RequestId, &Stream::root>, std::hash<RequestId>>>>;

    void forgetOldest(Time now);

    /// \brief In the order of their last records.
    Streams streams_;
    Duration lifetime_ = originLifetime(Duration(0));
};

} // namespace mimosatally::internal
