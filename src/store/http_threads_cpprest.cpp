/// @file
/// Threads of cpprestsdk, which serves the operators' port.

#include <chicoryspar/store.h>

#include <mutex>
#include <utility>

#include <pplx/threadpool.h>

namespace chicoryspar {
namespace {

constexpr std::size_t kHttpThreads = 2;

} // namespace

void limitHttpThreads()
{
    static std::once_flag s_once;
    std::call_once(s_once, [] {
        try {
            crossplat::threadpool::initialize_with_threads(kHttpThreads);
        } catch (const std::exception &) {
            // The thread pool exists already; its size can't be changed any more.
        }
    });
}

} // namespace chicoryspar
