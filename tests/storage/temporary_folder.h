#ifndef ALMOND_STORAGE_TEMPORARY_FOLDER_H_
#define ALMOND_STORAGE_TEMPORARY_FOLDER_H_

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace almond {

/// A folder that is removed by the destructor.
class temporary_folder {
 public:
  temporary_folder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "almond-XXXXXX").string();
    if (mkdtemp(pattern.data()) != nullptr) path_ = pattern;
  }
  ~temporary_folder() { std::filesystem::remove_all(path_); }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;

  std::string File(const std::string& name) const { return path_ + "/" + name; }
  static std::string Read(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  static void Write(const std::string& file, const std::string& content) {
    std::ofstream(file, std::ios::binary | std::ios::trunc) << content;
  }

 private:
  std::string path_;
};

}  // namespace almond

#endif  // ALMOND_STORAGE_TEMPORARY_FOLDER_H_
