@killer-request
Feature: A request that crashes its targets is stopped, and no other is blamed

  Scenario: One killer request sent again and again among innocents
    Given a site with 2 entries, 5 model targets and 0 booking targets
    And 4 callers stream answers of 40 tokens
    When the killer request is sent 6 times through every entry in turn
    Then at most 2 targets have fallen
    When 1000 ms pass
    Then the innocents sent together with the killer are served

  Scenario: Sides that are killed while their targets live blame no request
    Given a site with 2 entries, 0 model targets and 3 booking targets
    And the booking services answer after 500 ms
    When booking "first" is sent with a ticket through entry 1
    And 200 ms pass
    And the side that may first run booking "first" is killed
    And the side that may first run booking "first" is started again
    Then reply 1 to booking "first" says "outcome unknown"
    When booking "second" is sent with a ticket through entry 1
    And 200 ms pass
    And the side that may first run booking "second" is killed
    And the side that may first run booking "second" is started again
    Then reply 1 to booking "second" says "outcome unknown"
    When 1000 ms pass
    And booking "third" is sent with a ticket through entry 1
    Then reply 1 to booking "third" is whole
