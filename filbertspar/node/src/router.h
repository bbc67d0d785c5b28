#pragma once

#include <functional>
#include <memory>

#include "filbertspar/node/src/link_client.h"
#include "filbertspar/node/src/owner_term.h"
#include "filbertspar/node/src/owner_watch.h"

namespace filbertspar {

/// \brief Brings a call to the owner of the jobs, here or on another VM, and
/// repeats it when the owner changes meanwhile.
class Router {
 public:
  Router(OwnerWatch& watch, LinkClient& link,
         std::function<std::shared_ptr<OwnerTerm>()> owner_term)
      : m_watch(watch), m_link(link), m_owner_term(std::move(owner_term)) {}

  /// \brief Answer to the call. kNoOwner and other codes whose outcome is "not
  /// run" are only given when the call had no effect and will have none.
  asio::awaitable<JobReply> Execute(JobCall call);

 private:
  OwnerWatch& m_watch;
  LinkClient& m_link;
  std::function<std::shared_ptr<OwnerTerm>()> m_owner_term;
};

}  // namespace filbertspar
