@at-most-once
Feature: A request marked as not repeatable runs at most once, and "not run" is true

  Scenario: The same ticket sent through two entries runs once and gets one answer
    Given a site with 2 entries, 0 model targets and 3 booking targets
    And the booking services answer after 500 ms
    When booking "hold" is sent with a ticket through entry 1
    And booking "hold" is sent again through entry 2
    Then every reply to booking "hold" is the same answer
    And booking "hold" ran 1 time
    When booking "hold" is sent again through entry 1
    Then every reply to booking "hold" is the same answer
    And booking "hold" ran 1 time

  Scenario: Side killed after the hand-over, caller sends again at once and after the target was replaced
    Given a site with 2 entries, 0 model targets and 3 booking targets
    And the booking services answer after 1500 ms
    When booking "lens" is sent with a ticket through entry 1
    And 500 ms pass
    And the side that may first run booking "lens" is killed
    And booking "lens" is sent again through entry 2
    Then reply 1 to booking "lens" says "outcome unknown"
    And reply 2 to booking "lens" says "outcome unknown"
    When the side that may first run booking "lens" is started again
    And 2000 ms pass
    And booking "lens" is sent again through entry 2
    Then reply 3 to booking "lens" says "outcome unknown"
    And booking "lens" ran 1 time

  Scenario: A frozen side wakes after its work was given up
    Given a site with 2 entries, 0 model targets and 3 booking targets
    When a ticket for booking "plank" is taken through entry 1
    And the side that may first run booking "plank" is frozen
    And booking "plank" is sent again through entry 1 with a deadline of 3000 ms
    And booking "plank" is sent again through entry 2 with a deadline of 3000 ms
    Then reply 1 to booking "plank" says "outcome unknown"
    And reply 2 to booking "plank" says "outcome unknown"
    When the side that may first run booking "plank" is thawed
    And 2000 ms pass
    And booking "plank" is sent again through entry 2
    Then reply 3 to booking "plank" is whole
    And booking "plank" ran 1 time

  Scenario: A frozen side wakes after its entry has found it silent
    Given a site with 2 entries, 0 model targets and 3 booking targets
    When a ticket for booking "beam" is taken through entry 1
    And the side that may first run booking "beam" is frozen
    And booking "beam" is sent again through entry 1
    Then reply 1 to booking "beam" says "outcome unknown"
    When the side that may first run booking "beam" is thawed
    And 2000 ms pass
    And booking "beam" is sent again through entry 2
    Then booking "beam" ran at most 1 time
    And every booking ran at most once, and none of which "not run" was said

  Scenario: The entry is killed while the booking runs
    Given a site with 2 entries, 0 model targets and 3 booking targets
    And the booking services answer after 1500 ms
    When booking "deposit" is sent with a ticket through entry 1
    And 500 ms pass
    And the process "entry-1" is killed
    And booking "deposit" is sent again through entry 2
    Then reply 2 to booking "deposit" is whole
    And booking "deposit" ran 1 time

  Scenario: The connection goes silent with the answer on its way
    Given a site with 2 entries, 0 model targets and 3 booking targets
    And the booking services answer after 1000 ms
    When booking "silent" is sent with a ticket through entry 1
    And 500 ms pass
    And open connections to the side that may first run booking "silent" go silent
    Then reply 1 to booking "silent" is whole
    And booking "silent" ran 1 time

  Scenario: The same key sent through all entries together runs once
    Given a site with 3 entries, 0 model targets and 3 booking targets
    And the booking services answer after 300 ms
    When booking "engrave" is sent with a key through every entry together
    Then every reply to booking "engrave" is the same answer
    And booking "engrave" ran 1 time

  Scenario: Keys while the log loses answers
    Given a site with 2 entries, 0 model targets and 3 booking targets
    When the log loses the answers of the next 3 appends
    And booking "lost-answer" is sent with a key through every entry together
    Then every reply to booking "lost-answer" is the same answer
    And booking "lost-answer" ran 1 time

  Scenario: Tickets go on through a log outage, new keys are refused without a claim
    Given a site with 2 entries, 0 model targets and 3 booking targets
    When booking "known" is sent with a key through entry 1
    Then reply 1 to booking "known" is whole
    When the log is out
    And 1000 ms pass
    And booking "by-ticket" is sent with a ticket through entry 1
    And booking "by-key" is sent with a key through entry 2
    And booking "known" is sent again through entry 1
    Then reply 1 to booking "by-ticket" is whole
    And reply 1 to booking "by-key" says "outcome unknown"
    And reply 2 to booking "known" is whole
    And booking "by-ticket" ran 1 time
    And booking "by-key" ran 0 times
    And booking "known" ran 1 time
    When the log is back
    And 1000 ms pass
    And booking "by-key" is sent again through entry 2
    Then reply 2 to booking "by-key" is whole
    And booking "by-key" ran 1 time

  Scenario: "Not run" stays true when the targets come back
    Given a site with 2 entries, 0 model targets and 3 booking targets
    When a ticket for booking "refused" is taken through entry 1
    And every booking target is taken out of service
    And booking "refused" is sent again through entry 1
    Then reply 1 to booking "refused" says "not run"
    When every booking target is taken into service
    And booking "refused" is sent again through entry 1
    And booking "refused" is sent again through entry 2
    Then reply 2 to booking "refused" says "not run"
    And reply 3 to booking "refused" says "not run"
    And booking "refused" ran 0 times

  Scenario: A target that answers 503 with Retry-After 0 is not called twice
    Given a site with 2 entries, 0 model targets and 3 booking targets
    And the booking services answer 503 with Retry-After 0
    When booking "again" is sent with a ticket through entry 1
    Then reply 1 to booking "again" has status 503
    And booking "again" ran 1 time

  Scenario: Side and entry killed together
    Given a site with 2 entries, 0 model targets and 3 booking targets
    And the booking services answer after 1000 ms
    When booking "both" is sent with a ticket through entry 1
    And 300 ms pass
    And the side that may first run booking "both" is killed
    And the process "entry-1" is killed
    And booking "both" is sent again through entry 2
    Then reply 2 to booking "both" says "outcome unknown"
    When the side that may first run booking "both" is started again
    And booking "both" is sent again through entry 2
    Then reply 3 to booking "both" says "outcome unknown"
    And booking "both" ran 1 time

  Scenario: A booking sent with neither ticket nor key while a side is killed
    Given a site with 2 entries, 0 model targets and 3 booking targets
    When the process "side-booking-1" is killed
    And booking "bare" is sent with neither ticket nor key through entry 1
    Then reply 1 to booking "bare" is whole
    And booking "bare" ran 1 time

  Scenario: A resend that the entry turns away by itself claims nothing about the first attempt
    Given a site with 2 entries, 0 model targets and 1 booking targets
    When booking "resent" is sent with a ticket through entry 1
    Then reply 1 to booking "resent" is whole
    When booking "resent" is sent again through entry 2 with an unknown price tier
    Then reply 2 to booking "resent" says "outcome unknown"
    And booking "resent" ran 1 time

  Scenario: Sides killed at many moments before, during and after the hand-over
    Given a site with 2 entries, 0 model targets and 3 booking targets
    And the booking services answer after 50 ms
    When 10 bookings are sent through entry 1, and the side that may first run each is killed at a moment of its own
    Then every booking ran at most once, and none of which "not run" was said
    And some bookings ran and some did not
