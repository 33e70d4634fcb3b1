#ifndef ALMOND_TESTS_FAILING_SYNC_H_
#define ALMOND_TESTS_FAILING_SYNC_H_

namespace almond {

/// While an object of this class exists, syncs of this process fail with an
/// input/output error, as on a failing device.
class failing_sync {
 public:
  failing_sync();
  ~failing_sync();
  failing_sync(const failing_sync&) = delete;
  failing_sync& operator=(const failing_sync&) = delete;
};

}  // namespace almond

#endif  // ALMOND_TESTS_FAILING_SYNC_H_
