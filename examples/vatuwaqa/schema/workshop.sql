CREATE TABLE notes (
    id INTEGER PRIMARY KEY,
    unit_id INTEGER NOT NULL,
    note TEXT NOT NULL,
    new_price_fjd INTEGER
);
INSERT INTO notes (unit_id, note, new_price_fjd) VALUES
    (1, 'Replaced door gasket and core probe', 9800),
    (3, 'Thermostat recalibrated, new baskets', NULL);
