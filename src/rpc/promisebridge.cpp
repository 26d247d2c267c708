#include <mimosatally/Rpc>

namespace mimosatally::internal
{

std::exception_ptr toExceptionPtr(const kj::Exception &exception)
{
    const std::string text = exception.getDescription().cStr();
    if (exception.getType() == kj::Exception::Type::DISCONNECTED) {
        return std::make_exception_ptr(DisconnectedError(text));
    }
    return std::make_exception_ptr(Error(text));
}

kj::Exception toKjException(const std::exception_ptr &exception)
{
    try {
        std::rethrow_exception(exception);
    } catch (const DisconnectedError &error) {
        return {kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(error.what())};
    } catch (const std::exception &error) {
        return {kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(error.what())};
    }
}

} // namespace mimosatally::internal
