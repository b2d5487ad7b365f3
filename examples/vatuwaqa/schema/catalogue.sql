CREATE TABLE units (
    id INTEGER PRIMARY KEY,
    kind TEXT NOT NULL,
    model TEXT NOT NULL,
    yard TEXT NOT NULL,
    price_fjd INTEGER NOT NULL,
    status TEXT NOT NULL DEFAULT 'available'
);
INSERT INTO units (id, kind, model, yard, price_fjd) VALUES
    (1, 'combi oven', 'Rational SCC 61, 6 trays, refurbished 2025', 'Walu Bay', 9800),
    (2, 'combi oven', 'Convotherm 10.10, 10 trays, new seals', 'Walu Bay', 12400),
    (3, 'fryer', 'Frymaster twin basket, gas', 'Laucala', 2100),
    (4, 'fryer', 'Pitco single basket, electric', 'Laucala', 1650),
    (5, 'cold room', 'Walk-in 2.4 m x 2.4 m, compressor rebuilt', 'Nabua', 15800),
    (6, 'cold room', 'Walk-in 3 m x 2 m, panels only', 'Nabua', 7200);
