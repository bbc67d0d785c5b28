#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace {

using Keys = std::set<std::string>;

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void AddMatches(const std::string& text, const std::regex& pattern,
                const std::string& prefix, Keys& keys) {
  for (std::sregex_iterator match(text.begin(), text.end(), pattern), end;
       match != end; ++match) {
    keys.insert(prefix + (*match)[1].str());
  }
}

// Keys that the sources ask for by a literal; "STREAM." stands for a section
// named by its user.
Keys KeysOfSources() {
  const std::regex whole(R"re("([a-z]+\.[a-z_0-9]+)")re");
  const std::regex in_section(R"re(prefix \+\s*"([a-z_0-9]+)")re");
  Keys keys;
  for (const char* folder : {"filbertspar", "programs", "standins"}) {
    for (const auto& file :
         std::filesystem::recursive_directory_iterator(folder)) {
      if (file.path().extension() != ".cc") {
        continue;
      }
      const std::string text = ReadFile(file.path());
      if (text.find("Settings&") == std::string::npos) {
        continue;
      }
      AddMatches(text, whole, "", keys);
      AddMatches(text, in_section, "STREAM.", keys);
    }
  }
  return keys;
}

Keys KeysOfPage() {
  Keys keys;
  AddMatches(ReadFile("docs/settings.md"),
             std::regex(R"re(\| `((?:[a-z]+|STREAM)\.[a-z_0-9]+)` \|)re"), "",
             keys);
  return keys;
}

std::string Missing(const Keys& from, const Keys& in) {
  std::string missing;
  for (const std::string& key : from) {
    if (!in.contains(key)) {
      missing += key + " ";
    }
  }
  return missing;
}

}  // namespace

// Guards against a setting that the page lacks, and one that no longer exists.
TEST_CASE("docs/settings.md lists the settings that programs read") {
  const Keys sources = KeysOfSources();
  const Keys page = KeysOfPage();
  CHECK(sources.size() > 20);
  CHECK(Missing(sources, page) == "");
  CHECK(Missing(page, sources) == "");
}
