@configuration
Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: Racing operators, a lost append answer, and a late change
    Given a site with 2 entries, 1 model targets and 1 booking targets
    When operators take data centre "sea" out and in together from the same version
    Then within 4 s data centre "sea" is out in every running process
    When the change of data centre "sea" that lost is appended again
    Then data centre "sea" is still out in every running process after 1500 ms
    When the log loses the answers of the next 1 appends
    And operator "ann" takes data centre "sea" in
    And operator "ann" takes data centre "boi" out
    Then within 4 s data centre "boi" is out in every running process
    And within 4 s every running process has the same configuration

  Scenario: Records past retention and a process started after
    Given a site with 2 entries, 1 model targets and 1 booking targets whose log keeps 8 records
    When operator "ann" takes data centre "pdx" out
    And 30 changes of instance "model-1" are appended
    And the process "entry-2" is killed
    And entry 2 is started again
    Then within 4 s data centre "pdx" is out in every running process
    And within 4 s every running process has the same configuration

  Scenario: A process started during a log outage takes configuration from its peers
    Given a site with 2 entries, 1 model targets and 1 booking targets
    When operator "ann" takes data centre "pdx" out
    And the log is out
    And the process "side-booking-1" is killed
    And the side of "booking-1" is started again
    And the process "entry-2" is killed
    And entry 2 is started again
    Then within 4 s data centre "pdx" is out in every running process
    And within 4 s every running process has the same configuration

  Scenario: A process cut off from the log alone learns from its peers
    Given a site with 2 entries, 1 model targets and 1 booking targets
    When the process on "entry-1" is cut off from the log
    And the process on "booking-1" is cut off from the log
    And operator "ann" takes data centre "pdx" out
    Then within 4 s data centre "pdx" is out in every running process
    And within 4 s every running process has the same configuration

  Scenario: A slow log
    Given a site with 2 entries, 1 model targets and 1 booking targets
    When the log takes 800 ms longer for each call
    And operator "ann" takes data centre "pdx" out
    Then within 4 s data centre "pdx" is out in every running process

  Scenario: Two data centres cut from each other learn from a third
    Given a site with 3 entries, 3 model targets and 0 booking targets
    And 6 callers stream answers of 20 tokens
    When data centres "pdx" and "sea" are cut from each other
    And operator "ann" takes data centre "boi" out
    Then within 4 s data centre "boi" is out in every running process
    When data centres "pdx" and "sea" reach each other again
    Then within 4 s every running process has the same configuration
    And some streamed answers were whole

  Scenario: A data centre cut from all others goes on, and ends equal
    Given a site with 3 entries, 6 model targets and 0 booking targets
    When data centres "pdx" and "sea" are cut from each other
    And data centres "boi" and "sea" are cut from each other
    And operator "ann" takes data centre "boi" out
    Then within 4 s data centre "boi" is out in every process outside data centre "sea"
    And data centre "boi" is out in no process of data centre "sea"
    When 1 callers stream 10 answers through entry 2
    And data centres "pdx" and "sea" reach each other again
    And data centres "boi" and "sea" reach each other again
    Then within 4 s data centre "boi" is out in every running process
    And data centre "boi" is still out in every running process after 1500 ms
    And within 4 s every running process has the same configuration
