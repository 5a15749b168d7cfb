// A flag that is set while a scope runs, also where it ends by an exception.
#ifndef FIGSTALL_SCOPED_FLAG_H_
#define FIGSTALL_SCOPED_FLAG_H_

namespace figstall {

class ScopedFlag {
 public:
  explicit ScopedFlag(bool& flag) : flag_(flag) { flag_ = true; }
  ~ScopedFlag() { flag_ = false; }
  ScopedFlag(const ScopedFlag&) = delete;
  ScopedFlag& operator=(const ScopedFlag&) = delete;

 private:
  bool& flag_;
};

}  // namespace figstall

#endif  // FIGSTALL_SCOPED_FLAG_H_
