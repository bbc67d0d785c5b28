#pragma once

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "programs/ctl/client.h"
#include "programs/ctl/options.h"

namespace filbertspar::ctl {

/// \brief What every command works with.
struct Session {
  const Options& m_options;
  Client& m_client;
};

/// \brief Prints the state of the entry process at each address.
absl::Status RunStatus(Session& session);
/// \brief RunStatus again and again, each round under its time.
absl::Status RunWatch(Session& session);
/// \brief Commands on one kind of configuration item.
absl::Status RunItems(Session& session);
absl::Status RunVms(Session& session);
absl::Status RunDrain(Session& session);
absl::Status RunConfig(Session& session);
absl::Status RunExplain(Session& session);

/// \brief The word at a position, or empty.
std::string WordAt(const Session& session, std::size_t position);

/// \brief kUsage unless the command has from `min` to `max` words.
absl::Status CheckWords(const Session& session, std::size_t min,
                        std::size_t max, const std::string& form);

/// \brief kUsage unless the word can stand in a path as a name.
absl::Status CheckName(const std::string& name);

/// \brief Path with the query that states base version and dry run.
std::string ChangePath(const Session& session, const std::string& path,
                       std::int64_t base);

/// \brief Prints the answer to a change of the configuration.
void PrintChange(const Session& session, const JsonObject& answer,
                 const std::string& done);

/// \brief Reads a file that holds one JSON object; kUsage on failure.
absl::StatusOr<JsonObject> ReadObjectFile(const std::string& path);

/// \brief Sets the fields that the words from `first` on ("FIELD=VALUE") name.
/// `shape` has every field of the kind and tells text from other values.
absl::Status SetFields(const Session& session, std::size_t first,
                       const JsonObject& shape, JsonObject& item);

/// \brief Fields of an object as text, 0 or empty when they are absent.
std::string TextField(const JsonObject& object, std::string_view field);
std::int64_t NumberField(const JsonObject& object, std::string_view field);

}  // namespace filbertspar::ctl
