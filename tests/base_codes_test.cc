#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "filbertspar/base/base.h"

namespace filbertspar {
namespace {

// Guards against two codes that share a number or a name.
TEST_CASE("result codes are unique and found by number") {
  std::set<std::string> names;
  for (const CodeInfo& info : CodeTable()) {
    CHECK(names.insert(std::string(info.m_name)).second);
    CHECK(CodeFromNumber(static_cast<int>(info.m_code)) == info.m_code);
    CHECK(info.m_exit_code >= 0);
    CHECK(info.m_exit_code < 126);
  }
  CHECK_FALSE(CodeFromNumber(9999));
}

// Guards against a refusal whose outcome does not say "not run".
TEST_CASE("codes 200 to 299 mean not run, others do not") {
  for (const CodeInfo& info : CodeTable()) {
    const int number = static_cast<int>(info.m_code);
    const bool refusal = number >= 200 && number < 300;
    CHECK((info.m_outcome == Outcome::kNotRun) == refusal);
  }
}

// Guards against a status that loses its code on the way.
TEST_CASE("a status carries its code") {
  CHECK(CodeOf(Error(Code::kQueueFull, "full")) == Code::kQueueFull);
  CHECK(CodeOf(absl::OkStatus()) == Code::kOk);
  CHECK(CodeOf(absl::InternalError("x")) == Code::kInternal);
}

// Guards against a page that misses a code or lists one that is gone.
TEST_CASE("docs/codes.md lists each code") {
  std::ifstream file("docs/codes.md");
  REQUIRE(file);
  std::stringstream page;
  page << file.rdbuf();
  std::size_t rows = 0;
  std::string line;
  while (std::getline(page, line)) {
    rows += line.starts_with("| ") && line.size() > 2 &&
            std::isdigit(static_cast<unsigned char>(line[2])) != 0;
  }
  CHECK(rows == CodeTable().size());
  for (const CodeInfo& info : CodeTable()) {
    std::ostringstream row;
    row << "| " << static_cast<int>(info.m_code) << " | `" << info.m_name
        << "` | " << info.m_http_status << " | " << info.m_exit_code << " | "
        << OutcomeName(info.m_outcome) << " | " << info.m_text << " |";
    INFO(row.str());
    CHECK(page.str().find(row.str()) != std::string::npos);
  }
}

}  // namespace
}  // namespace filbertspar
